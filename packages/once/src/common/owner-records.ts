/** Records of an owner. They are held in memory until `retentionMs` after their key expires. */
import type * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import type * as answer from './answer.js';
import type * as key from './key.js';
import type * as settings from './settings.js';

/** Execution state of a request. The last three are final. */
export type OwnerState =
	'received' | 'intent-sent' | 'ready' | 'dispatched' | 'completed' | 'refused' | 'unknown';

export type OwnerRecord = {
	readonly parsed: key.ParsedKey;
	readonly fingerprint: string;
	state: OwnerState;
	/** Execution in progress, shared by all callers of this key. */
	running: Promise<answer.Answer> | undefined;
	/** Stored answer of a completed request, if it is within the limits. */
	answer: answer.Answer | undefined;
	/** Error for retries when no answer is stored. */
	error: gatewayError.GatewayError | undefined;
	/** True when the witness holds the final result. */
	isWitnessed: boolean;
	readonly receivedAtMs: number;
};

export type OwnerRecords = {
	get(text: string): OwnerRecord | undefined;
	/** Adds a record; undefined when the table is full. */
	add(parsed: key.ParsedKey, fingerprint: string, nowMs: number): OwnerRecord | undefined;
	/** Stores an answer if it is within the limits. */
	keepAnswer(record: OwnerRecord, value: answer.Answer, sizeBytes: number): void;
	/** Removes final records whose retention has ended. */
	sweep(nowMs: number): void;
	values(): Iterable<OwnerRecord>;
	dump(nowMs: number): unknown;
};

/** True when the state of a record can't change any more. */
export const isFinal = (record: OwnerRecord): boolean =>
	record.state === 'completed' || record.state === 'refused' || record.state === 'unknown';

const maxDumpedRecords = 50;

/** Creates an empty table. Times count from the start of the owner's incarnation. */
export const createOwnerRecords = (limits: settings.OnceSettings): OwnerRecords => {
	const records = new Map<string, OwnerRecord>();
	const answerSizes = new Map<string, number>();
	let answersBytes = 0;

	const dumpRecord = (record: OwnerRecord, nowMs: number) => ({
		nonce: record.parsed.nonce,
		expiresInMs: record.parsed.expiresAtMs - nowMs,
		state: record.state,
		ageMs: nowMs - record.receivedAtMs,
		witness: record.parsed.witness?.name,
		isWitnessed: record.isWitnessed,
	});

	return {
		get: (text) => records.get(text),
		add(parsed, fingerprint, nowMs) {
			if (records.size >= limits.maxOwnerRecords) {
				return undefined;
			}

			const record: OwnerRecord = {
				parsed,
				fingerprint,
				state: 'received',
				running: undefined,
				answer: undefined,
				error: undefined,
				isWitnessed: false,
				receivedAtMs: nowMs,
			};
			records.set(parsed.text, record);
			return record;
		},
		keepAnswer(record, value, sizeBytes) {
			const isKept =
				value.body !== undefined &&
				sizeBytes <= limits.maxAnswerBytes &&
				answersBytes + sizeBytes <= limits.maxAnswersBytes;
			if (isKept) {
				record.answer = value;
				answerSizes.set(record.parsed.text, sizeBytes);
				answersBytes += sizeBytes;
			}
		},
		sweep(nowMs) {
			for (const [text, record] of records) {
				if (isFinal(record) && record.parsed.expiresAtMs + limits.retentionMs <= nowMs) {
					records.delete(text);
					answersBytes -= answerSizes.get(text) ?? 0;
					answerSizes.delete(text);
				}
			}
		},
		values: () => records.values(),
		dump(nowMs) {
			const byState: Record<string, number> = {};
			const unfinished = [];
			for (const record of records.values()) {
				byState[record.state] = (byState[record.state] ?? 0) + 1;
				if (!isFinal(record) && unfinished.length < maxDumpedRecords) {
					unfinished.push(dumpRecord(record, nowMs));
				}
			}

			return {records: records.size, byState, answersBytes, unfinished};
		},
	};
};
