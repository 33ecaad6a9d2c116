/** Bundled programs that end because of an error that nothing has caught. */
import tap from 'tap';

import { PlatformMachine, PlatformProgram } from '../../stand-ins/platform/index.js';
import waitFor from '../../stand-ins/waitFor/index.js';

const CONTROL_IP = '127.0.146.1';
const DELAY_MS = 1_500;

const MACHINES = {
  [PlatformProgram.Node]: { ip: '127.0.146.2', service: 'desk' },
  [PlatformProgram.Control]: { ip: CONTROL_IP },
};

/** Errors of a running program, as statements. */
const ERRORS: Record<string, string> = {
  uncaughtException: 'throw new Error("injected fault")',
  unhandledRejection: 'Promise.reject(new Error("injected fault"))',
};

const findLine = (output: string, component: string): Record<string, unknown> | undefined =>
  output
    .split('\n')
    .filter((line) => line.startsWith('{'))
    .map((line) => JSON.parse(line) as { context: Record<string, unknown>; message: string })
    .filter(({ context }) => context.component === component)
    .at(-1)?.context;

// Guards against a process whose end leaves open whether it lacked memory or met a fault, and against an
// error that is logged and then ignored.
Object.values(PlatformProgram).forEach((program) =>
  Object.entries(ERRORS).forEach(([origin, statement]) =>
    tap.test(`${program}: ${origin} is logged, and ends the process`, async (t) => {
      const fault = `data:text/javascript,setTimeout(() => { ${statement}; }, ${DELAY_MS})`;
      const machine = new PlatformMachine({
        ...{ program, zone: 'zone-a', seedIps: [CONTROL_IP], isBundled: true },
        ...{ ...MACHINES[program], runtimeOptions: ['--import', fault] },
      });
      t.teardown(() => machine.remove());
      await machine.start();
      await waitFor('end of the program', () => Promise.resolve(machine.ownEnd !== undefined));
      t.same(machine.ownEnd, { code: 1, signal: null });
      const context = findLine(machine.output, 'process');
      t.match(context, { origin, reason: /^Error: injected fault\n +at / });
      ['residentBytes', 'heapUsedBytes', 'heapTotalBytes', 'externalBytes'].forEach((name) =>
        t.ok(Number(context?.[name]) > 0, `${name}: ${String(context?.[name])}`),
      );
    }),
  ),
);

// Guards against a planned stop that can't be distinguished from one of the ends above.
tap.test('a planned stop is logged, and the process exits with code 0', async (t) => {
  const machine = new PlatformMachine({
    ...{ program: PlatformProgram.Node, zone: 'zone-a', seedIps: [CONTROL_IP], isBundled: true },
    ...MACHINES[PlatformProgram.Node],
  });
  t.teardown(() => machine.remove());
  await machine.start();
  await waitFor('start', () => Promise.resolve(machine.output.includes('node started')));
  machine.signal('SIGTERM');
  await waitFor('end of the program', () => Promise.resolve(machine.ownEnd !== undefined));
  t.same(machine.ownEnd, { code: 0, signal: null });
  t.match(machine.output, /node is draining[^]*node stopped/);
  t.equal(findLine(machine.output, 'process'), undefined);
});
