/**
 * The witness of a key: holds intents, completions and seals of other owners in
 * memory. Invariant: it never acknowledges an intent for a key for which it has
 * answered `not-run`, and never answers `not-run` for a key whose intent it has
 * acknowledged, whether or not it still holds the record.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as identity from '@hawthornfront/protocol/common/identity.js';
import type * as onceMethods from '@hawthornfront/protocol/common/once-methods.js';
import type * as zod from 'zod';
import * as key from './key.js';
import type * as settings from './settings.js';
import * as witnessOwners from './witness-owners.js';
import * as witnessRecords from './witness-records.js';

type IntentParams = zod.infer<typeof onceMethods.intent.params>;
type IntentResult = zod.infer<typeof onceMethods.intent.result>;
type CompleteParams = zod.infer<typeof onceMethods.complete.params>;

export type WitnessOptions = {
	/** This daemon; the incarnation stays the same for the life of the process. */
	self: identity.Identity;
	clock: clock.Clock;
	settings: settings.OnceSettings;
};

/** Counts since the start of the process. */
export type WitnessCounters = {
	intentsRecorded: number;
	intentsRefused: Record<onceMethods.Refusal, number>;
	completionsStored: number;
	answersNotKept: number;
	seals: number;
	resolvedNotRun: number;
	resolvedRan: number;
	resolvedUnknown: number;
	recordsForgotten: number;
	/** Keys that were both sealed and run; any value above 0 is a bug. */
	contradictions: number;
};

export type Witness = disposable.Disposable & {
	intent(params: IntentParams): IntentResult;
	complete(params: CompleteParams): {isStored: boolean};
	resolve(params: {key: string; fingerprint: string}): onceMethods.WireResolution;
	/** Stores final records of a stopping owner, also for keys of another witness. */
	handoff(records: readonly CompleteParams[]): number;
	readonly counters: Readonly<WitnessCounters>;
	/** State, without request content. */
	dump(): unknown;
};

const sweepPeriodMs = 5000;

// Callers cause seals and owners cause intents. Seals may fill only this share of
// the table, so that callers with forged keys can't use up the capacity for intents.
const sealShare = 0.5;

/** Creates the witness of one incarnation. */
export const createWitness = (options: WitnessOptions): Witness => {
	const {self, clock, settings: limits} = options;
	const owners = witnessOwners.createWitnessOwners(limits);
	const records = witnessRecords.createWitnessRecords({clock, owners, settings: limits});
	const counters: WitnessCounters = {
		intentsRecorded: 0,
		intentsRefused: {
			invalid: 0,
			'other-incarnation': 0,
			sealed: 0,
			reused: 0,
			forgotten: 0,
			full: 0,
		},
		completionsStored: 0,
		answersNotKept: 0,
		seals: 0,
		resolvedNotRun: 0,
		resolvedRan: 0,
		resolvedUnknown: 0,
		recordsForgotten: 0,
		contradictions: 0,
	};

	const isOwnWitness = (parsed: key.ParsedKey) =>
		parsed.witness !== undefined && key.isSameIncarnation(parsed.witness, self);

	const refuse = (reason: onceMethods.Refusal): IntentResult => {
		counters.intentsRefused[reason]++;
		return {kind: 'refused', reason};
	};

	const intent = (params: IntentParams): IntentResult => {
		const parsed = key.parseKey(params.key);
		if (!parsed) {
			return refuse('invalid');
		}

		if (!isOwnWitness(parsed)) {
			return refuse('other-incarnation');
		}

		const known = records.get(parsed.text);
		if (known) {
			if (known.state === 'sealed' || known.state === 'not-run') {
				return refuse('sealed');
			}

			return known.fingerprint === params.fingerprint ? {kind: 'recorded'} : refuse('reused');
		}

		if (owners.isPossiblyForgotten(parsed.owner, parsed.expiresAtMs)) {
			return refuse('forgotten');
		}

		const added = records.add(parsed, {
			state: 'intent',
			fingerprint: params.fingerprint,
			isAdopted: false,
		});
		if (!added) {
			return refuse('full');
		}

		owners.recordOwnerClock(parsed.owner, params.ownerNowMs, clock.nowMs());
		counters.intentsRecorded++;
		return {kind: 'recorded'};
	};

	const keepAnswer = (
		record: witnessRecords.WitnessRecord,
		answer: onceMethods.StoredAnswer | undefined,
	) => {
		if (answer && !record.answer && !records.setAnswer(record, answer)) {
			counters.answersNotKept++;
		}
	};

	const storeResult = (params: CompleteParams, isAdopted: boolean): boolean => {
		const parsed = key.parseKey(params.key);
		if (!parsed || (!isAdopted && !isOwnWitness(parsed))) {
			return false;
		}

		const known = records.get(parsed.text);
		if (!known && owners.isPossiblyForgotten(parsed.owner, parsed.expiresAtMs)) {
			return false;
		}

		const {outcome} = params.result;
		const record =
			known ?? records.add(parsed, {state: outcome, fingerprint: params.fingerprint, isAdopted});
		if (!record) {
			return false;
		}

		// A result is final: duplicate and late messages don't change it.
		if (record.state === 'sealed' || record.state === 'not-run' || record.state === 'ran') {
			if (outcome === 'ran' && record.state !== 'ran') {
				counters.contradictions++;
			}
		} else {
			record.state = outcome;
		}

		if (params.result.outcome === 'ran' && record.state === 'ran') {
			keepAnswer(record, params.result.answer);
		}

		counters.completionsStored++;
		return true;
	};

	const resolveFromRecord = (
		record: witnessRecords.WitnessRecord,
		fingerprint: string,
	): onceMethods.WireResolution => {
		if (record.fingerprint !== undefined && record.fingerprint !== fingerprint) {
			return {outcome: 'reused'};
		}

		if (record.state === 'ran') {
			return {outcome: 'ran', ...(record.answer ? {answer: record.answer} : {})};
		}

		return record.state === 'intent'
			? {outcome: 'unknown', reason: 'intent-without-completion'}
			: {outcome: 'not-run'};
	};

	const sealKey = (parsed: key.ParsedKey): onceMethods.WireResolution => {
		// Only the incarnation named in the key can have acknowledged the intent. A
		// later incarnation of this daemon has lost the records, so a missing intent
		// proves nothing there, and a seal would block only future intents.
		if (!isOwnWitness(parsed)) {
			return {outcome: 'unknown', reason: 'other-incarnation'};
		}

		if (owners.isPossiblyForgotten(parsed.owner, parsed.expiresAtMs)) {
			return {outcome: 'unknown', reason: 'forgotten'};
		}

		if (owners.isPlausibleExpiry(parsed.owner, parsed.expiresAtMs, clock.nowMs()) === false) {
			return {outcome: 'unknown', reason: 'invalid'};
		}

		// Without a record of the seal, a later intent would be acknowledged.
		const record = records.add(
			parsed,
			{state: 'sealed', fingerprint: undefined, isAdopted: false},
			sealShare,
		);
		if (!record) {
			return {outcome: 'unknown', reason: 'full'};
		}

		counters.seals++;
		return {outcome: 'not-run'};
	};

	const countResolution = (resolution: onceMethods.WireResolution): onceMethods.WireResolution => {
		if (resolution.outcome === 'ran') {
			counters.resolvedRan++;
		} else if (resolution.outcome === 'unknown') {
			counters.resolvedUnknown++;
		} else {
			counters.resolvedNotRun++;
		}

		return resolution;
	};

	const timer = clock.setPeriodicTimer(() => {
		counters.recordsForgotten += records.sweep();
	}, sweepPeriodMs);

	return {
		intent,
		complete: (params) => ({isStored: storeResult(params, false)}),
		resolve(params) {
			const parsed = key.parseKey(params.key);
			if (!parsed) {
				return countResolution({outcome: 'unknown', reason: 'invalid'});
			}

			const known = records.get(parsed.text);
			return countResolution(
				known ? resolveFromRecord(known, params.fingerprint) : sealKey(parsed),
			);
		},
		handoff: (handedOver) => handedOver.filter((params) => storeResult(params, true)).length,
		counters,
		dump: () => ({...records.dump(), counters: structuredClone(counters)}),
		dispose() {
			timer.dispose();
		},
	};
};
