/**
 * Orders the log lines of one request across daemons and adds the state that each
 * daemon held for the upstreams and peers involved.
 */

export type LogLine = {
	timeMs: number;
	vm: string;
	kind: string;
	fields: Readonly<Record<string, unknown>>;
};

export type Explanation = {
	lines: string[];
	/** Lines that could not be read. */
	skipped: number;
	found: boolean;
};

/** Keys that every line has or that are printed separately. */
const commonKeys: ReadonlySet<string> = new Set(['level', 'time', 'vm', 'kind', 'request']);

/** Kinds whose latest line gives a daemon's state, with the field that identifies the subject. */
const stateSubjectFields: Readonly<Record<string, string | undefined>> = {
	'config-in-force': undefined,
	'store-lost': 'feed',
	'store-regained': 'feed',
	evacuation: 'failureDomain',
	upstream: 'upstream',
	member: 'member',
	readiness: undefined,
	stopping: undefined,
};

const isRecord = (value: unknown): value is Record<string, unknown> =>
	typeof value === 'object' && value !== null && !Array.isArray(value);

const parseLine = (text: string): LogLine | undefined => {
	// A log collector may prepend text to a line.
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		const fields: unknown = JSON.parse(text.slice(start));
		if (
			isRecord(fields) &&
			typeof fields.time === 'number' &&
			typeof fields.vm === 'string' &&
			typeof fields.kind === 'string'
		) {
			return {timeMs: fields.time, vm: fields.vm, kind: fields.kind, fields};
		}
	} catch {
		// Counted by the caller as a line that cannot be read.
	}

	return undefined;
};

const textOf = (value: unknown): string =>
	typeof value === 'string' ? value : JSON.stringify(value);

const render = (line: LogLine): string =>
	Object.entries(line.fields)
		.filter(([key]) => !commonKeys.has(key))
		.map(([key, value]) => `${key}=${textOf(value)}`)
		.join(' ');

/** Sort key for lines with equal times: a relay precedes its effects. */
const sortRank = ({kind}: LogLine): number => (kind === 'request-relayed' ? 0 : 1);

/**
 * Offsets that correct clock skew: a daemon cannot have processed a relayed request
 * before it was relayed.
 */
const clockOffsets = (requestLines: readonly LogLine[]): Map<string, number> => {
	const offsets = new Map<string, number>();
	for (const relay of requestLines.filter(({kind}) => kind === 'request-relayed')) {
		const peer = textOf(relay.fields.peer);
		const first = requestLines.find(({vm}) => vm === peer);
		const relayedAtMs = relay.timeMs + (offsets.get(relay.vm) ?? 0);
		if (first && first.timeMs < relayedAtMs) {
			offsets.set(peer, relayedAtMs - first.timeMs);
		}
	}

	return offsets;
};

/** Latest state lines of a daemon before the request, limited to the request's subjects. */
const latestStateLines = (
	all: readonly LogLine[],
	vm: string,
	beforeMs: number,
	subjects: ReadonlySet<string>,
): LogLine[] => {
	const last = new Map<string, LogLine>();
	for (const line of all) {
		if (line.vm !== vm || line.timeMs > beforeMs || !(line.kind in stateSubjectFields)) {
			continue;
		}

		const key = stateSubjectFields[line.kind];
		const subject = key === undefined ? '' : textOf(line.fields[key]);
		const isGeneral = key === undefined || key === 'feed' || key === 'failureDomain';
		if (isGeneral || subjects.has(subject)) {
			// `store-regained` replaces the earlier `store-lost` line.
			const kind = line.kind === 'store-regained' ? 'store-lost' : line.kind;
			last.set(`${kind} ${subject}`, line);
		}
	}

	return [...last.values()].sort((a, b) => a.timeMs - b.timeMs);
};

/** Explains a request from the log lines of one or more daemons, in any order. */
export const explainRequest = (request: string, texts: Iterable<string>): Explanation => {
	const all: LogLine[] = [];
	let skipped = 0;
	for (const text of texts) {
		const line = parseLine(text);
		if (line) {
			all.push(line);
		} else if (text.trim() !== '') {
			skipped++;
		}
	}

	all.sort((a, b) => a.timeMs - b.timeMs);
	const requestLines = all.filter(({fields}) => fields.request === request);
	const [first] = requestLines;
	if (!first) {
		return {lines: [], skipped, found: false};
	}

	const offsets = clockOffsets(requestLines);
	const aligned = requestLines
		.map((line) => ({line, atMs: line.timeMs + (offsets.get(line.vm) ?? 0)}))
		.sort((a, b) => a.atMs - b.atMs || sortRank(a.line) - sortRank(b.line));
	const startMs = aligned[0]!.atMs;
	const lines = aligned.map(
		({line, atMs}) =>
			`+${Math.round(atMs - startMs)} ms  ${line.vm}  ${line.kind}  ${render(line)}`,
	);
	for (const [vm, offsetMs] of offsets) {
		lines.push(`clock of ${vm} is behind by ${Math.round(offsetMs)} ms or more`);
	}

	const subjects = new Set(
		requestLines.flatMap(({fields}) =>
			['upstream', 'peer', 'promptSource'].map((key) => textOf(fields[key] ?? '')),
		),
	);
	for (const vm of new Set(requestLines.map((line) => line.vm))) {
		const firstThere = requestLines.find((line) => line.vm === vm)!;
		for (const state of latestStateLines(all, vm, firstThere.timeMs, subjects)) {
			const ageMs = Math.round(firstThere.timeMs - state.timeMs);
			lines.push(`${vm} believed since ${ageMs} ms before: ${state.kind}  ${render(state)}`);
		}
	}

	return {lines, skipped, found: true};
};
