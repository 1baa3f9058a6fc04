/** Records of a witness: limits on number and size, and eviction. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as onceMethods from '@hawthornfront/protocol/common/once-methods.js';
import type * as key from './key.js';
import * as settings from './settings.js';
import type * as witnessOwners from './witness-owners.js';

export type RecordState = 'intent' | 'ran' | 'not-run' | 'sealed';

export type WitnessRecord = {
	state: RecordState;
	owner: key.Peer;
	expiresAtMs: number;
	/** Undefined for a seal. */
	fingerprint: string | undefined;
	answer: onceMethods.StoredAnswer | undefined;
	isAdopted: boolean;
	forgetAtMs: number;
};

export type WitnessRecords = {
	get(text: string): WitnessRecord | undefined;
	/** Adds a record; undefined when the given share of the capacity is used up. */
	add(
		parsed: key.ParsedKey,
		record: Pick<WitnessRecord, 'state' | 'fingerprint' | 'isAdopted'>,
		share?: number,
	): WitnessRecord | undefined;
	/** Stores an answer; false when it exceeds a limit. */
	setAnswer(record: WitnessRecord, answer: onceMethods.StoredAnswer): boolean;
	/** Evicts the records that are due; returns their number. */
	sweep(): number;
	dump(): Record<string, unknown>;
};

const storedSizeBytes = (answer: onceMethods.StoredAnswer): number => {
	let total = answer.body.length;
	for (const [name, value] of Object.entries(answer.headers)) {
		total += name.length + value.length;
	}

	return total;
};

/** Creates an empty table. */
export const createWitnessRecords = (options: {
	clock: clock.Clock;
	owners: witnessOwners.WitnessOwners;
	settings: settings.OnceSettings;
}): WitnessRecords => {
	const {clock, owners, settings: limits} = options;
	const records = new Map<string, WitnessRecord>();
	let answersBytes = 0;
	// The body is stored as base64, which is a third longer.
	const maxStoredBytes = Math.ceil(limits.maxAnswerBytes / 3) * 4;

	// Longest lifetime and retention of a key when this clock runs faster than the owner's.
	const longestLifeMs =
		(limits.keyLifetimeMs + limits.retentionMs) * (1 + settings.maxClockRateDifference);

	// Evicting a record with a forged expiry would move the owner's horizon past its
	// real keys. A seal therefore stays until the owner can have issued its expiry.
	const canDrop = (record: WitnessRecord): boolean =>
		record.state !== 'sealed' ||
		owners.isSuperseded(record.owner) ||
		owners.isPlausibleExpiry(record.owner, record.expiresAtMs, clock.nowMs()) === true;

	return {
		get: (text) => records.get(text),
		add(parsed, record, share = 1) {
			const hasRoom = records.size < limits.maxWitnessRecords * share;
			const maxOwners = limits.maxWitnessOwners * share;
			if (!hasRoom || !owners.addRecord(parsed.owner, clock.nowMs(), maxOwners)) {
				return undefined;
			}

			const added: WitnessRecord = {
				...record,
				owner: parsed.owner,
				expiresAtMs: parsed.expiresAtMs,
				answer: undefined,
				forgetAtMs: clock.nowMs() + longestLifeMs,
			};
			records.set(parsed.text, added);
			return added;
		},
		setAnswer(record, answer) {
			const sizeBytes = storedSizeBytes(answer);
			if (sizeBytes > maxStoredBytes || answersBytes + sizeBytes > limits.maxAnswersBytes) {
				return false;
			}

			record.answer = answer;
			answersBytes += sizeBytes;
			return true;
		},
		sweep() {
			let dropped = 0;
			for (const [text, record] of records) {
				if (record.forgetAtMs <= clock.nowMs() && canDrop(record)) {
					records.delete(text);
					answersBytes -= record.answer ? storedSizeBytes(record.answer) : 0;
					owners.dropRecord(record.owner, record.expiresAtMs);
					dropped++;
				}
			}

			owners.prune(clock.nowMs() - longestLifeMs);
			return dropped;
		},
		dump() {
			const byState = {intent: 0, ran: 0, 'not-run': 0, sealed: 0};
			let adopted = 0;
			for (const record of records.values()) {
				byState[record.state]++;
				adopted += record.isAdopted ? 1 : 0;
			}

			return {records: records.size, byState, adopted, answersBytes, owners: owners.size};
		},
	};
};
