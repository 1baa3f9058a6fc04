/**
 * Puts the log lines of one request in order over several daemons, with what each
 * daemon believed of the things that the request met.
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

/** Keys that every line has, or that are printed apart. */
const commonKeys: ReadonlySet<string> = new Set(['level', 'time', 'vm', 'kind', 'request']);

/** Beliefs that the last line of a kind holds, with the field that tells their subjects apart. */
const beliefSubjects: Readonly<Record<string, string | undefined>> = {
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
	// A collector may put its own words before a line.
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

/** Order of lines at one time: a relay precedes what follows from it. */
const relayFirst = ({kind}: LogLine): number => (kind === 'request-relayed' ? 0 : 1);

/**
 * Offsets that make the clocks agree: a daemon that got a relayed request cannot
 * have acted on it before it was relayed.
 */
const clockOffsets = (course: readonly LogLine[]): Map<string, number> => {
	const offsets = new Map<string, number>();
	for (const relay of course.filter(({kind}) => kind === 'request-relayed')) {
		const peer = textOf(relay.fields.peer);
		const first = course.find(({vm}) => vm === peer);
		const relayedAtMs = relay.timeMs + (offsets.get(relay.vm) ?? 0);
		if (first && first.timeMs < relayedAtMs) {
			offsets.set(peer, relayedAtMs - first.timeMs);
		}
	}

	return offsets;
};

/** Last lines before the request of what the daemon believed about what the request met. */
const beliefsOf = (
	all: readonly LogLine[],
	vm: string,
	beforeMs: number,
	subjects: ReadonlySet<string>,
): LogLine[] => {
	const last = new Map<string, LogLine>();
	for (const line of all) {
		if (line.vm !== vm || line.timeMs > beforeMs || !(line.kind in beliefSubjects)) {
			continue;
		}

		const key = beliefSubjects[line.kind];
		const subject = key === undefined ? '' : textOf(line.fields[key]);
		const isGeneral = key === undefined || key === 'feed' || key === 'failureDomain';
		if (isGeneral || subjects.has(subject)) {
			// A store that is back replaces the line that it was lost.
			const kind = line.kind === 'store-regained' ? 'store-lost' : line.kind;
			last.set(`${kind} ${subject}`, line);
		}
	}

	return [...last.values()].sort((a, b) => a.timeMs - b.timeMs);
};

/** Explains a request from the lines of one or more daemons, in any order. */
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
	const course = all.filter(({fields}) => fields.request === request);
	const [first] = course;
	if (!first) {
		return {lines: [], skipped, found: false};
	}

	const offsets = clockOffsets(course);
	const aligned = course
		.map((line) => ({line, atMs: line.timeMs + (offsets.get(line.vm) ?? 0)}))
		.sort((a, b) => a.atMs - b.atMs || relayFirst(a.line) - relayFirst(b.line));
	const startMs = aligned[0]!.atMs;
	const lines = aligned.map(
		({line, atMs}) =>
			`+${Math.round(atMs - startMs)} ms  ${line.vm}  ${line.kind}  ${render(line)}`,
	);
	for (const [vm, offsetMs] of offsets) {
		lines.push(`clock of ${vm} is behind by ${Math.round(offsetMs)} ms or more`);
	}

	const subjects = new Set(
		course.flatMap(({fields}) =>
			['upstream', 'peer', 'promptSource'].map((key) => textOf(fields[key] ?? '')),
		),
	);
	for (const vm of new Set(course.map((line) => line.vm))) {
		const firstThere = course.find((line) => line.vm === vm)!;
		for (const belief of beliefsOf(all, vm, firstThere.timeMs, subjects)) {
			const ageMs = Math.round(firstThere.timeMs - belief.timeMs);
			lines.push(`${vm} believed since ${ageMs} ms before: ${belief.kind}  ${render(belief)}`);
		}
	}

	return {lines, skipped, found: true};
};
