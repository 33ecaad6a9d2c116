/**
 * Formats rows as a table with left-aligned columns.
 *
 * @param header - column titles
 * @param rows - cells as text
 * @returns the lines of the table, the header first
 */
const formatTable = (header: string[], rows: string[][]): string[] => {
  const lines = [header, ...rows];
  const widths = header.map((_, column) =>
    lines.reduce((width, line) => Math.max(width, line[column]?.length ?? 0), 0),
  );
  return lines.map((line) =>
    line
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
};

export default formatTable;
