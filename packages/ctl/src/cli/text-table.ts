/** Formats records as a text table with a column for each field, in the order in which fields first occur. */
export function formatTable(rows: ReadonlyArray<Readonly<Record<string, unknown>>>): string {
	const columns = [...new Set(rows.flatMap(row => Object.keys(row)))];
	const lines = [columns, ...rows.map(row => columns.map(column => formatCell(row[column])))];
	const widths = columns.map((_, index) => Math.max(...lines.map(line => line[index]!.length)));
	return lines.map(line => line.map((cell, index) => cell.padEnd(widths[index]!)).join('  ').trimEnd()).join('\n');
}

function formatCell(value: unknown): string {
	if (value === undefined || value === null) {
		return '-';
	}

	return typeof value === 'string' ? value : JSON.stringify(value);
}
