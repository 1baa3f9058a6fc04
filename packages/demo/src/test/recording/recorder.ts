/** Records the messages of one session as readable text, the same in every run. */
import type * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as records from '../world/records.js';
import type * as session from '../world/session.js';
import type * as world from '../world/world.js';
import * as worlds from '../world/world.js';

/** One message. `text` is the body of a request or a part of an answer. */
export type Message = {
	kind: 'request' | 'answer' | 'part' | 'end' | 'break';
	atMs: number;
	exchange: number;
	from: string;
	to: string;
	method: string;
	path: string;
	status?: number;
	headers: Record<string, string>;
	text: string;
};

export type Recorder = {
	readonly messages: readonly Message[];
	/** Adds a line for an event that is no message, such as a fault. */
	note(text: string): void;
	/** Adds the final verdict of a caller. */
	verdict(verdict: session.Verdict): void;
	render(): string;
};

const shownHeaders = [
	'cdn-loop',
	'connection',
	'content-type',
	'hawthornfront-crossings',
	'hawthornfront-entry',
	'idempotency-key',
	'request-timeout-ms',
	'retry-after',
];

const placeNames = new Map(
	[
		{name: 'caller', address: worlds.callerAddress},
		...worlds.places,
		...records.upstreamPlaces,
	].map(({name, address}) => [address, name]),
);

/** Replaces each match by a label that counts the distinct values in order of appearance. */
const createLabels = (pattern: RegExp, label: string) => {
	const numbers = new Map<string, number>();
	return (text: string): string =>
		text.replaceAll(pattern, (value) => {
			const number = numbers.get(value) ?? numbers.size + 1;
			numbers.set(value, number);
			return `<${label} ${number}>`;
		});
};

const createNormaliser = () => {
	// Keys hold a signature, so they are longer than any other word.
	const labelKeys = createLabels(/[\w-]{80,}/gu, 'key');
	const labelDigests = createLabels(/\b[\da-f]{64}\b/gu, 'fingerprint');
	const labelRequests = createLabels(/\br\d{4,}\b/gu, 'request');
	return (text: string): string => {
		let result = labelRequests(labelDigests(labelKeys(text)));
		for (const [address, name] of placeNames) {
			result = result.replaceAll(address, name);
		}

		return result
			.replaceAll(/"ownerNowMs":[\d.]+/gu, '"ownerNowMs":<time>')
			.replaceAll(/"created":\d+/gu, '"created":<time>')
			.replaceAll(/"id":\d+/gu, '"id":<number>');
	};
};

/** Load polls and what daemons say to each other outside requests are no part of a session. */
const isBackground = ({path, body}: httpClient.HttpRequest): boolean =>
	path === '/load' || (path === '/internal/rpc' && !String(body).includes('"once.'));

const bodyText = (body: httpClient.HttpRequest['body']): string =>
	typeof body === 'string' ? body : new TextDecoder().decode(body);

const arrows = {request: '->', answer: '<-', part: '<-', end: '<-', break: '<-'};

const summaryOf = (message: Message): string => {
	switch (message.kind) {
		case 'request': {
			return `${message.method} ${message.path}`;
		}

		case 'answer': {
			return `status ${message.status}`;
		}

		case 'part': {
			return 'part';
		}

		case 'end': {
			return 'end';
		}

		case 'break': {
			return `connection broken: ${message.text}`;
		}
	}
};

/** Starts to record everything that `system` does from now on. */
export const createRecorder = (system: world.World, title: string): Recorder => {
	const startMs = system.clock.nowMs();
	const messages: Message[] = [];
	const lines: string[] = [`# ${title}`];
	const normalise = createNormaliser();
	const timeText = () => `${(system.clock.nowMs() - startMs).toFixed(1).padStart(8)} ms`;

	const addText = (text: string) => {
		for (const line of text.split('\n')) {
			if (line !== '') {
				lines.push(`${' '.repeat(14)}| ${normalise(line)}`);
			}
		}
	};

	const add = (message: Message) => {
		messages.push(message);
		const ends = `${message.from} ${arrows[message.kind]} ${message.to}`;
		const summary = normalise(summaryOf(message));
		lines.push(`${timeText()}  ${ends}  #${message.exchange} ${summary}`);
		for (const name of shownHeaders) {
			const value = message.headers[name];
			if (value !== undefined) {
				lines.push(`${' '.repeat(14)}${name}: ${normalise(value)}`);
			}
		}

		if (message.kind === 'request' || message.kind === 'part') {
			addText(message.text);
		}
	};

	let exchanges = 0;
	system.observer = (from, request) => {
		if (isBackground(request)) {
			return undefined;
		}

		const base = {
			exchange: ++exchanges,
			from: placeNames.get(from) ?? from,
			to: placeNames.get(request.peer) ?? request.peer,
			method: request.method,
			path: request.path,
			headers: {},
			text: '',
		};
		const put = (message: Partial<Message> & Pick<Message, 'kind'>) => {
			add({...base, atMs: system.clock.nowMs() - startMs, ...message});
		};

		put({kind: 'request', headers: request.headers ?? {}, text: bodyText(request.body)});
		const decoder = new TextDecoder();
		return {
			answered(status, headers) {
				put({kind: 'answer', status, headers});
			},
			received(part) {
				put({kind: 'part', text: decoder.decode(part, {stream: true})});
			},
			ended() {
				put({kind: 'end'});
			},
			broken(reason) {
				put({kind: 'break', text: reason});
			},
		};
	};

	return {
		messages,
		note(text) {
			lines.push(`${timeText()}  * ${text}`);
		},
		verdict(verdict) {
			lines.push(`${timeText()}  * verdict: ${normalise(JSON.stringify(verdict))}`);
		},
		render: () => `${lines.join('\n')}\n`,
	};
};
