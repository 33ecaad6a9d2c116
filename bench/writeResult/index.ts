/** Writes the figures of an experiment as JSON and its plot as SVG under `bench-results/`. */
import { execFileSync } from 'node:child_process';
import { mkdirSync, writeFileSync } from 'node:fs';
import { cpus, loadavg, totalmem } from 'node:os';

import { init, use } from 'echarts/core';
import { BarChart, LineChart } from 'echarts/charts';
import { GridComponent, LegendComponent, TitleComponent } from 'echarts/components';
import { SVGRenderer } from 'echarts/renderers';

const FOLDER = 'bench-results';
const PLOT_SIZE = { width: 900, height: 500 };

use([BarChart, LineChart, GridComponent, LegendComponent, TitleComponent, SVGRenderer]);

export interface Series {
  name: string;
  /** x and y of each point. */
  points: [x: number | string, y: number][];
}

export interface Plot {
  title: string;
  kind: 'line' | 'bar';
  /** Label of the x axis, including the unit. */
  xLabel: string;
  /** Label of the y axis, including the unit. */
  yLabel: string;
  series: Series[];
}

/**
 * Renders a plot as SVG.
 *
 * @param plot - labels and series
 * @returns the SVG document
 */
export const renderPlot = (plot: Plot): string => {
  const chart = init(null, null, { renderer: 'svg', ssr: true, ...PLOT_SIZE });
  chart.setOption({
    animation: false,
    title: { text: plot.title },
    legend: { bottom: 0 },
    xAxis: { type: plot.kind === 'bar' ? 'category' : 'value', name: plot.xLabel },
    yAxis: { type: 'value', name: plot.yLabel },
    series: plot.series.map(({ name, points }) => ({
      name,
      type: plot.kind,
      data: points,
      showSymbol: false,
    })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
};

const readCommit = (): string =>
  execFileSync('git', ['describe', '--always', '--dirty'], { encoding: 'utf8' }).trim();

/**
 * Writes the result of an experiment to files and prints the figures.
 *
 * @param name - prefix of the file names
 * @param figures - measured values, with units in their names
 * @param plot - rendered to the SVG file
 * @returns path of the JSON file
 */
export const writeResult = (name: string, figures: object, plot: Plot): string => {
  mkdirSync(FOLDER, { recursive: true });
  const stamp = new Date().toISOString().replaceAll(':', '-').slice(0, 19);
  const path = `${FOLDER}/${name}-${stamp}`;
  const machine = {
    cores: cpus().length,
    memoryGiB: Math.round(totalmem() / 1_024 ** 3),
    loadAverage: loadavg(),
  };
  const result = { name, commit: readCommit(), command: process.argv.slice(1), machine, figures };
  writeFileSync(`${path}.json`, `${JSON.stringify(result, undefined, 2)}\n`);
  writeFileSync(`${path}.svg`, renderPlot(plot));
  process.stdout.write(`${JSON.stringify(figures, undefined, 2)}\nwritten: ${path}.json\n`);
  return `${path}.json`;
};
