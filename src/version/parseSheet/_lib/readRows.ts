import { parse } from 'csv-parse/sync';

import { createFault } from '../../validateSheet/_lib/createFault.js';
import { SheetColumn } from '../../validateSheet/types.js';

import type { SheetFault, SheetRow } from '../../validateSheet/types.js';

/** The rows of a sheet together with the faults of its form. */
export interface ReadRows {
  rows: SheetRow[];
  faults: SheetFault[];
}

interface CsvRecord {
  record: string[];
  info: { lines: number };
}

const COLUMNS: string[] = Object.values(SheetColumn);

const isColumn = (name: string): name is SheetColumn => COLUMNS.includes(name);

/** A row whose cells are either free of quotes or quoted as a whole, with `""` for a quote. */
const WELL_QUOTED_PATTERN =
  /^(?:(?:\s*"(?:[^"]|"")*"\s*|[^",]*),)*(?:\s*"(?:[^"]|"")*"\s*|[^",]*)$/;

const isWellQuoted = (line: string): boolean => WELL_QUOTED_PATTERN.test(line);

/**
 * Replaces rows with misplaced quotes by empty lines. No cell may contain a line break, and an open
 * quote would hide the faults of all later rows.
 */
const separateMisquoted = (text: string): { text: string; faults: SheetFault[] } => {
  const lines = text.split(/\r\n|\n|\r/);
  const faults = lines.flatMap((line, index) =>
    isWellQuoted(line)
      ? []
      : [
          createFault(
            index + 1,
            '',
            line,
            'quotes only around whole cells, closed in the same row',
          ),
        ],
  );
  const wellQuotedLines = lines.map((line) => (isWellQuoted(line) ? line : ''));
  return { text: wellQuotedLines.join('\n'), faults };
};

const readRecords = (text: string): { records: CsvRecord[]; faults: SheetFault[] } => {
  const separated = separateMisquoted(text);
  try {
    const records = parse(separated.text, {
      bom: true,
      info: true,
      record_delimiter: '\n',
      relax_column_count: true,
      skip_empty_lines: true,
      trim: true,
    }) as unknown as CsvRecord[];
    return { records, faults: separated.faults };
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return {
      records: [],
      faults: [...separated.faults, createFault(0, '', '', `valid CSV (${reason})`)],
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

const findLengthFaults = (header: string[], { record, info }: CsvRecord): SheetFault[] =>
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
 * Splits the text of a sheet into rows and lists the faults of its form.
 *
 * @param text - CSV with a header
 */
export const readRows = (text: string): ReadRows => {
  const { records, faults } = readRecords(text);
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
      ...others.flatMap((record) => findLengthFaults(header, record)),
    ],
  };
};
