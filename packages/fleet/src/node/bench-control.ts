/**
 * Benchmark of the control traffic of daemons: bytes, messages, processor time, memory,
 * store calls, the time until a change is applied and the peak rates of a recovery.
 * Prints tables and writes `bench/results/control.json`. Arguments: any of `memory`,
 * `steady`, `simulated`, `changes` and `recovery` to run only these parts; `--quick`.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as process from 'node:process';
import * as url from 'node:url';
import * as benchCells from './bench-cells.js';

const resultsDirectory = 'bench/results';
const designTeams = 14_000;
const runnersPerDomain = 60;

export const partNames = ['memory', 'steady', 'simulated', 'changes', 'recovery'] as const;
export type PartName = (typeof partNames)[number];

export type ControlBenchOptions = {
	/** Parts to run; all when absent. */
	parts?: readonly PartName[];
	/** Shortens every cell; the figures are then only useful as a smoke test. */
	isQuick?: boolean;
	print?: (line: string) => void;
};

export type ControlBenchResult = {
	startedAt: string;
	steady: Array<benchCells.CellOptions & benchCells.SteadyResult>;
	changes: Array<benchCells.CellOptions & benchCells.ChangeResult>;
	memory: Array<benchCells.CellOptions & benchCells.MemoryResult>;
	recovery: Array<benchCells.CellOptions & benchCells.RecoveryResult & {isStoreUp: boolean}>;
};

const base: benchCells.CellOptions = {
	kind: 'loopback',
	daemons: 7,
	domains: 1,
	runnersPerDomain: 0,
	sendsFullStatus: false,
	teams: 50,
	seed: 1,
	settleMs: 12_000,
	measureMs: 10_000,
};

type Shape = Partial<benchCells.CellOptions>;

/** Loopback cells measure processor time. */
const steadyShapes: Shape[] = [
	...[7, 41, 100].flatMap((daemons) => [
		{daemons, runnersPerDomain},
		{daemons, runnersPerDomain, sendsFullStatus: true},
	]),
	{daemons: 41},
	{daemons: 100, domains: 10, runnersPerDomain},
];

// The changes of 100 daemons that join at once spread for 70 s: 1400 claims at 20 per second.
const simulated: Shape = {kind: 'memory', settleMs: 90_000, measureMs: 20_000};

/** Cells on the manual clock measure bytes and messages, which do not depend on the machine. */
const simulatedShapes: Shape[] = [
	...[7, 41].flatMap((daemons) => [
		{...simulated, daemons},
		{...simulated, daemons, runnersPerDomain},
		{...simulated, daemons, runnersPerDomain, sendsFullStatus: true},
	]),
	{...simulated, daemons: 41, runnersPerDomain: 20},
	{...simulated, daemons: 41, domains: 3, runnersPerDomain},
	{...simulated, daemons: 82, domains: 2, runnersPerDomain},
	{...simulated, daemons: 100, domains: 10, runnersPerDomain},
	{...simulated, daemons: 100, runnersPerDomain},
	{...simulated, daemons: 100, runnersPerDomain, sendsFullStatus: true},
];

const changeShapes: Shape[] = [
	{daemons: 7, teams: designTeams},
	{daemons: 41, teams: designTeams},
	{daemons: 41, domains: 3, teams: designTeams},
	{daemons: 100, domains: 10, teams: 1000},
];

const memoryShapes: Shape[] = [
	{daemons: 7},
	{daemons: 41},
	{daemons: 100, domains: 10},
	{daemons: 7, teams: designTeams / 2},
	{daemons: 7, teams: designTeams},
	{daemons: 7, runnersPerDomain: 600},
];

const recoveryShapes: Shape[] = [
	{kind: 'memory', daemons: 21, domains: 3, teams: designTeams},
	{kind: 'memory', daemons: 82, domains: 2, teams: 2000},
];

const shapeText = (cell: benchCells.CellOptions): string[] => [
	cell.kind,
	String(cell.daemons),
	String(cell.domains),
	String(cell.runnersPerDomain),
	String(cell.teams),
	cell.sendsFullStatus ? 'full' : 'split',
];
const shapeHead = ['world', 'daemons', 'domains', 'runners/domain', 'teams', 'status'];

/** Renders rows as a Markdown table. */
export const renderTable = (head: string[], rows: string[][]): string[] => {
	const lines = [head, head.map(() => '---'), ...rows];
	return lines.map((row) => `| ${row.join(' | ')} |`);
};

const fixed = (value: number | undefined, digits = 0): string => value?.toFixed(digits) ?? 'never';

const steadyTable = (rows: ControlBenchResult['steady']): string[] =>
	renderTable(
		[
			...shapeHead,
			'plain msg/s sent',
			'plain B/s sent',
			'plain B/s received',
			'relay msg/s sent',
			'relay B/s sent',
			'relay B/s received',
			'list B/s',
			'CPU % of a core',
			'store calls/s',
		],
		rows.map((row) => [
			...shapeText(row),
			fixed(row.plain.messagesSent, 1),
			fixed(row.plain.bytesSent),
			fixed(row.plain.bytesReceived),
			fixed(row.relay.messagesSent, 1),
			fixed(row.relay.bytesSent),
			fixed(row.relay.bytesReceived),
			fixed(row.plain.callBytes),
			fixed(row.cpuPercent, 2),
			fixed(row.storeCallsPerSecond, 2),
		]),
	);

const changeTable = (rows: ControlBenchResult['changes']): string[] =>
	renderTable(
		[...shapeHead, 'in force ms, each change', 'CPU ms/change', 'store calls/change', 'B/change'],
		rows.map((row) => [
			...shapeText(row),
			row.inForceMs.map((value) => fixed(value)).join(' '),
			fixed(row.cpuMsPerChange, 1),
			fixed(row.storeCallsPerChange, 1),
			fixed(row.callBytesPerChange),
		]),
	);

const memoryTable = (rows: ControlBenchResult['memory']): string[] =>
	renderTable(
		[...shapeHead, 'MB/daemon'],
		rows.map((row) => [...shapeText(row), fixed(row.bytesPerDaemon / 1e6, 2)]),
	);

const recoveryTable = (rows: ControlBenchResult['recovery']): string[] =>
	renderTable(
		[
			...shapeHead,
			'store',
			'ready ms',
			'recovered ms',
			'peak B/s',
			'peak msg/s',
			'peak store calls/s',
		],
		rows.map((row) => [
			...shapeText(row),
			row.isStoreUp ? 'up' : 'down',
			fixed(row.readyMs),
			fixed(row.recoveredMs),
			fixed(row.bytesOfOneDaemon),
			fixed(row.messagesOfOneDaemon),
			fixed(row.storeCalls),
		]),
	);

/** A run of some parts writes a file of its own, so that it does not overwrite the other figures. */
const writeResults = (result: ControlBenchResult, parts: readonly PartName[]): string => {
	const suffix = parts.length === partNames.length ? '' : `-${parts.join('-')}`;
	const resultsFile = path.join(resultsDirectory, `control${suffix}.json`);
	fs.mkdirSync(resultsDirectory, {recursive: true});
	fs.writeFileSync(resultsFile, `${JSON.stringify(result, undefined, '\t')}\n`);
	return resultsFile;
};

type Run = {
	cells: (list: Shape[]) => benchCells.CellOptions[];
	changes: number;
	result: ControlBenchResult;
};

const runSteady = async (cells: benchCells.CellOptions[], result: ControlBenchResult) => {
	const rows: ControlBenchResult['steady'] = [];
	for (const cell of cells) {
		rows.push({...cell, ...(await benchCells.runSteadyCell(cell))});
	}

	result.steady.push(...rows);
	return rows;
};

/** Each function runs one part, adds it to the result and returns its title and table. */
const runners: Record<PartName, (run: Run) => Promise<[title: string, lines: string[]]>> = {
	async memory({cells, result}) {
		for (const cell of cells(memoryShapes)) {
			result.memory.push({...cell, ...(await benchCells.runMemoryCell(cell))});
		}

		return ['Memory of one daemon (heap and buffers)', memoryTable(result.memory)];
	},
	async steady({cells, result}) {
		const rows = await runSteady(cells(steadyShapes), result);
		return ['Steady state over loopback, one daemon', steadyTable(rows)];
	},
	async simulated({cells, result}) {
		const rows = await runSteady(cells(simulatedShapes), result);
		return ['Steady state on a manual clock, one daemon', steadyTable(rows)];
	},
	async changes({cells, changes, result}) {
		for (const cell of cells(changeShapes)) {
			result.changes.push({...cell, ...(await benchCells.runChangeCell(cell, changes))});
		}

		return ['A change of one team', changeTable(result.changes)];
	},
	async recovery({cells, result}) {
		for (const cell of cells(recoveryShapes)) {
			for (const isStoreUp of [true, false]) {
				const figures = await benchCells.runRecoveryCell(cell, isStoreUp);
				result.recovery.push({...cell, isStoreUp, ...figures});
			}
		}

		return ['One whole failure domain replaced at once', recoveryTable(result.recovery)];
	},
};

/** Runs the parts sequentially. All of them take about eleven minutes without `isQuick`. */
export const runControlBench = async (
	options: ControlBenchOptions = {},
): Promise<ControlBenchResult> => {
	const print = options.print ?? console.log;
	const short = options.isQuick ? {settleMs: 1000, measureMs: 2000} : {};
	const result: ControlBenchResult = {
		startedAt: new Date().toISOString(),
		memory: [],
		steady: [],
		changes: [],
		recovery: [],
	};
	const cells = (list: Shape[]) =>
		(options.isQuick ? list.slice(0, 1) : list).map((shape) => ({...base, ...shape, ...short}));
	// Memory is the first part, before other cells grow the heap.
	const parts = options.parts ?? partNames;
	for (const part of parts) {
		const [title, lines] = await runners[part]({cells, changes: options.isQuick ? 1 : 3, result});
		print([`\n${title}\n`, ...lines].join('\n'));
	}

	print(`\nwritten to ${writeResults(result, parts)}`);
	return result;
};

if (process.argv[1] === url.fileURLToPath(import.meta.url)) {
	const parts = partNames.filter((part) => process.argv.includes(part));
	await runControlBench({
		isQuick: process.argv.includes('--quick'),
		parts: parts.length > 0 ? parts : undefined,
	});
}
