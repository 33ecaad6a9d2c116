import { parse } from 'csv-parse/sync';

import { createFault } from '../../validateSheet/_lib/createFault.js';
import { SheetColumn } from '../../validateSheet/types.js';

import type { SheetFault, SheetRow } from '../../validateSheet/types.js';

/** The rows of a sheet together with the faults of its CSV format. */
export interface ParsedRows {
  rows: SheetRow[];
  faults: SheetFault[];
}

/**
 * Maximum number of lines. Parsing this many takes about 0.2 s, during which a control VM answers no
 * heartbeat; the lease of a leader is 0.45 s.
 */
export const MAX_SHEET_LINES = 5_000;

interface CsvRecord {
  record: string[];
  info: { lines: number };
}

const COLUMNS: string[] = Object.values(SheetColumn);

const isColumn = (name: string): name is SheetColumn => COLUMNS.includes(name);

/** Matches a row in which each cell has no quotes or is quoted as a whole, with `""` for a quote. */
const WELL_QUOTED_PATTERN =
  /^(?:(?:\s*"(?:[^"]|"")*"\s*|[^",]*),)*(?:\s*"(?:[^"]|"")*"\s*|[^",]*)$/;

/** Longer than any row of valid cells, even when all of them are quoted. */
const MAX_LINE_LENGTH = 4_096;

const describeLineFault = (line: string): string | undefined => {
  if (line.length > MAX_LINE_LENGTH) return `a row of at most ${MAX_LINE_LENGTH} characters`;
  return WELL_QUOTED_PATTERN.test(line)
    ? undefined
    : 'quotes only around whole cells, closed in the same row';
};

/**
 * Replaces rows that are too long or have misplaced quotes with empty lines. No cell may contain a
 * line break, and an open quote would hide the faults of all later rows.
 */
const blankMalformedLines = (lines: string[]): { text: string; faults: SheetFault[] } => {
  const faults = lines.flatMap((line, index) => {
    const expected = describeLineFault(line);
    return expected === undefined ? [] : [createFault(index + 1, '', line, expected)];
  });
  const malformedRows = new Set(faults.map((fault) => fault.row));
  const keptLines = lines.map((line, index) => (malformedRows.has(index + 1) ? '' : line));
  return { text: keptLines.join('\n'), faults };
};

const parseRecords = (lines: string[]): { records: CsvRecord[]; faults: SheetFault[] } => {
  const checked = blankMalformedLines(lines);
  try {
    const records = parse(checked.text, {
      bom: true,
      info: true,
      record_delimiter: '\n',
      relax_column_count: true,
      skip_empty_lines: true,
      trim: true,
    }) as unknown as CsvRecord[];
    return { records, faults: checked.faults };
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return {
      records: [],
      faults: [...checked.faults, createFault(0, '', '', `valid CSV (${reason})`)],
    };
  }
};

const findHeaderFaults = (header: string[], headerRow: number): SheetFault[] => {
  const unknown = header
    .filter((name) => !isColumn(name))
    .map((name) => ({
      ...createFault(headerRow, '', name, `one of the columns ${COLUMNS.join(',')}`),
      column: name,
    }));
  const repeated = header
    .filter((name, index) => isColumn(name) && header.indexOf(name) !== index)
    .map((name) => ({
      ...createFault(headerRow, '', name, 'each column once'),
      column: name,
    }));
  const missing = COLUMNS.filter((name) => !header.includes(name)).map((name) => ({
    ...createFault(headerRow, '', '', `a column "${name}" in the header`),
    column: name,
  }));
  return [...unknown, ...repeated, ...missing];
};

const createRow = (header: string[], { record, info }: CsvRecord): SheetRow => ({
  row: info.lines,
  cells: new Map(
    header.flatMap((name, index) =>
      isColumn(name) && header.indexOf(name) === index ? [[name, record[index] ?? '']] : [],
    ),
  ),
});

const findCellCountFaults = (header: string[], { record, info }: CsvRecord): SheetFault[] =>
  record.length === header.length
    ? []
    : [
        createFault(
          info.lines,
          '',
          `${record.length} cells`,
          `${header.length} cells as in the header`,
        ),
      ];

/**
 * Splits the text of a sheet into rows and lists the faults of its CSV format.
 *
 * @param text - CSV with a header
 */
export const parseRows = (text: string): ParsedRows => {
  const lines = text.split(/\r\n|\n|\r/);
  // Blank lines count too: the limit bounds the time for which parsing blocks the event loop.
  if (lines.length > MAX_SHEET_LINES) {
    const tooMany = `at most ${MAX_SHEET_LINES} lines`;
    return { rows: [], faults: [createFault(0, '', `${lines.length} lines`, tooMany)] };
  }
  const { records, faults } = parseRecords(lines);
  const [first, ...others] = records;
  if (!first) {
    const missing = createFault(1, '', '', `a header with the columns ${COLUMNS.join(',')}`);
    return { rows: [], faults: faults.length > 0 ? faults : [missing] };
  }
  const header = first.record;
  return {
    rows: others.map((record) => createRow(header, record)),
    faults: [
      ...faults,
      ...findHeaderFaults(header, first.info.lines),
      ...others.flatMap((record) => findCellCountFaults(header, record)),
    ],
  };
};
