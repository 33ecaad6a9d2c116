import js from '@eslint/js';
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  {
    ignores: [
      'dist/**',
      'target/**',
      'src/_generated/**',
      'node_modules/**',
      '.tap/**',
      'bench-results/**',
      '*.config.js',
    ],
  },
  js.configs.recommended,
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  ...configs.base.recommended,
  ...configs.node.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  prettier,
  {
    settings: {
      node: { convertPath: [{ include: ['src/**'], replace: ['^(.+)\\.ts$', 'dist/$1.js'] }] },
    },
    rules: {
      // A task per connection or peer is a loop that awaits each step.
      'no-await-in-loop': 'off',
      // Behaviour that varies is an abstract class; not every implementation reads its state.
      'class-methods-use-this': 'off',
      // Airbnb forbids every for...of; `for await` is how a stream is read.
      'no-restricted-syntax': [
        'error',
        { selector: 'ForInStatement', message: 'Use Object.keys with an array method.' },
        { selector: 'ForOfStatement[await=false]', message: 'Use an array method.' },
        { selector: 'LabeledStatement', message: 'Labels make control flow hard to follow.' },
        { selector: 'WithStatement', message: 'with is disallowed in strict mode.' },
      ],
      'no-constant-condition': ['error', { checkLoops: false }],
      '@typescript-eslint/consistent-type-imports': [
        'error',
        { fixStyle: 'separate-type-imports' },
      ],
      '@typescript-eslint/no-explicit-any': 'error',
      // NodeNext resolution needs the compiled extension in import paths.
      'import-x/extensions': ['error', 'always', { ignorePackages: true }],
    },
  },
  {
    // CommonJS modules have no other form of import; TypeScript compiles this one.
    files: ['**/*.cts'],
    rules: { '@typescript-eslint/no-require-imports': ['error', { allowAsImport: true }] },
  },
  {
    // The programs of the platform end at once when they have stopped.
    files: ['platform/node.ts', 'platform/control.ts'],
    rules: { 'n/no-process-exit': 'off' },
  },
  {
    files: [
      '**/test.ts',
      '**/*.test.ts',
      'scripts/**',
      'stand-ins/**',
      'bench/**',
      'fuzz/**',
      'test/**',
    ],
    rules: {
      'import-x/no-extraneous-dependencies': ['error', { devDependencies: true }],
      'n/no-sync': 'off',
    },
  },
];
