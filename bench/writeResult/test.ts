import tap from 'tap';

import { renderPlot } from './index.js';

// Experiments must run on machines without a browser.
tap.test('a plot is rendered as SVG without a browser', async (t) => {
  const svg = renderPlot({
    title: 'Goodput',
    kind: 'line',
    xLabel: 'time (s)',
    yLabel: 'answers per second',
    series: [
      {
        name: 'offered',
        points: [
          [0, 1],
          [1, 2],
        ],
      },
    ],
  });
  t.match(svg, /^<svg /);
  t.match(svg, /answers per second/);
});
