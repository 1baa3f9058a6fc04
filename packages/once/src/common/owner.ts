/**
 * The owner side: the only place where a non-idempotent request is executed.
 * A request goes through received, intent sent, ready, dispatched, completed.
 * Whoever was told `not-run` may ask again under a fresh key, so a key that was
 * refused once stays refused.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import type * as rpc from '@hawthornfront/protocol/common/rpc.js';
import * as answerModule from './answer.js';
import * as execution from './execution.js';
import * as handOffModule from './hand-off.js';
import type * as keyIssuer from './key-issuer.js';
import * as key from './key.js';
import * as ownerCounters from './owner-counters.js';
import * as ownerErrors from './owner-errors.js';
import * as ownerRecords from './owner-records.js';
import type * as settings from './settings.js';
import * as witnessClient from './witness-client.js';

export type OwnerOptions = {
	self: key.Peer;
	clock: clock.Clock;
	rpcClient: rpc.RpcClient;
	issuer: keyIssuer.KeyIssuer;
	settings: settings.OnceSettings;
};

/** Whose key a text is: `previous` is an earlier incarnation of this daemon. */
export type KeyClass = 'own' | 'previous' | 'other' | 'invalid';

export type RunOptions = {
	/** Attempts while none has called `markSent`; 1 by default. */
	maxAttempts?: number;
};

export type RunResult = {
	answer: answerModule.Answer;
	/** True for a repeat: the request was executed for an earlier call. */
	isReplay: boolean;
};

export type Owner = disposable.Disposable & {
	/** Tells where a key belongs; only `own` keys can be run here. */
	classify(keyText: string): KeyClass;
	/**
	 * Executes a request at most once under its key, or gives what an earlier call
	 * with the same key gave.
	 * @throws GatewayException with the outcome; `not-run` is final for the key.
	 */
	run(
		keyText: string,
		fingerprint: string,
		execute: execution.Execute,
		options?: RunOptions,
	): Promise<RunResult>;
	/**
	 * Refuses a key for good, for a request that is turned away before `run`.
	 * Returns undefined when the key was received before; its outcome comes from `run`.
	 */
	refuse(keyText: string, fingerprint: string): {freshKey: string} | undefined;
	/** Ends running for good and hands final records over. */
	handOff(others: readonly key.Peer[]): Promise<handOffModule.HandOffResult>;
	readonly counters: Readonly<ownerCounters.OwnerCounters>;
	/** State without any content of requests. */
	dump(): unknown;
};

const sweepPeriodMs = 5000;

/** Creates the owner of one incarnation. */
export const createOwner = (options: OwnerOptions): Owner => {
	const {self, clock, issuer, settings: limits} = options;
	const ended = new AbortController();
	const client = witnessClient.createWitnessClient({
		clock,
		rpcClient: options.rpcClient,
		settings: limits,
		signal: ended.signal,
	});
	const records = ownerRecords.createOwnerRecords(limits);
	const counters = ownerCounters.createOwnerCounters();
	let isStopped = false;
	// Keys without a record up to this expiry were refused when there was no room
	// for a record of the refusal.
	let refusedUpToMs = -1;

	const refuseUnrecorded = (
		reason: ownerCounters.NotRunReason,
		error: gatewayError.GatewayError,
	): gatewayError.GatewayException => {
		counters.notRun[reason]++;
		return new gatewayError.GatewayException(error);
	};

	const withdraw = (record: ownerRecords.OwnerRecord) => {
		// Without this the witness would have to answer `unknown` for an intent that
		// is recorded and was never used.
		void complete(record, {outcome: 'not-run'});
	};

	const refuseRecord = (
		record: ownerRecords.OwnerRecord,
		reason: ownerCounters.NotRunReason,
		error: gatewayError.GatewayError,
	): gatewayError.GatewayException => {
		record.state = 'refused';
		// Repeats get the same fresh key, so that two copies of one request do not
		// become two requests.
		record.error = {...error, outcome: 'not-run', freshKey: issuer.issue()};
		counters.notRun[reason]++;
		return new gatewayError.GatewayException(record.error);
	};

	const complete = async (
		record: ownerRecords.OwnerRecord,
		result: witnessClient.HandoffRecord['result'],
	) => {
		const {witness, text} = record.parsed;
		if (!witness) {
			return;
		}

		record.isWitnessed = await client.sendCompletion(witness, {
			key: text,
			fingerprint: record.fingerprint,
			result,
		});
		if (record.isWitnessed) {
			counters.completionsAcknowledged++;
		} else {
			counters.completionsGivenUp++;
		}
	};

	/** Holds the answer back for a short time, so that a crash right after it is known. */
	const completeRan = async (
		record: ownerRecords.OwnerRecord,
		answer: answerModule.Answer | undefined,
	) => {
		const stored = answer && answerModule.toStored(answer, limits.maxAnswerBytes);
		const completion = complete(record, {outcome: 'ran', ...(stored ? {answer: stored} : {})});
		const limit = new AbortController();
		const wait = async () => {
			try {
				await clock.sleep(limits.completionWaitMs, limit.signal);
			} catch {
				// The completion was acknowledged first.
			}
		};

		await Promise.race([completion, wait()]);
		limit.abort();
	};

	/** Returns an error when the request was refused before dispatch. */
	const recordIntent = async (
		record: ownerRecords.OwnerRecord,
	): Promise<gatewayError.GatewayException | undefined> => {
		const {witness, text} = record.parsed;
		if (!witness) {
			return undefined;
		}

		record.state = 'intent-sent';
		const outcome = await client.recordIntent(witness, {
			key: text,
			fingerprint: record.fingerprint,
			ownerNowMs: Math.max(0, issuer.nowMs()),
		});
		if (outcome.kind === 'recorded') {
			return undefined;
		}

		const isSealed = outcome.kind === 'refused' && outcome.reason === 'sealed';
		if (!isSealed) {
			issuer.avoidWitness(witness.name);
		}

		const error =
			outcome.kind === 'lost'
				? refuseRecord(record, 'witness-unreachable', ownerErrors.witnessUnreachable(witness))
				: refuseRecord(record, 'witness-refused', ownerErrors.witnessRefused(witness));
		if (outcome.kind === 'lost') {
			withdraw(record);
		}

		return error;
	};

	const checkSend = (record: ownerRecords.OwnerRecord): gatewayError.GatewayError | undefined => {
		if (isStopped) {
			return ownerErrors.stopping();
		}

		return record.parsed.expiresAtMs <= issuer.nowMs() ? ownerErrors.expired('not-run') : undefined;
	};

	const attempt = async (
		record: ownerRecords.OwnerRecord,
		execute: execution.Execute,
		maxAttempts: number,
	): Promise<execution.AttemptResult> => {
		for (let number = 1; ; number++) {
			const result = await execution.runAttempt(
				execute,
				() => checkSend(record),
				(isSent) => {
					record.state = isSent ? 'dispatched' : 'ready';
				},
			);
			const mayRepeat =
				result.kind === 'failed' && !result.isSent && number < maxAttempts && !checkSend(record);
			if (!mayRepeat) {
				return result;
			}

			counters.attemptsRepeated++;
		}
	};

	const finishFailed = async (
		record: ownerRecords.OwnerRecord,
		failure: execution.AttemptResult & {kind: 'failed'},
	): Promise<gatewayError.GatewayException> => {
		if (!failure.isSent) {
			const error = refuseRecord(record, 'failed-before-sending', failure.error);
			withdraw(record);
			return error;
		}

		const hasRun = failure.error.outcome === 'ran';
		record.state = hasRun ? 'completed' : 'unknown';
		record.error = {...failure.error, outcome: hasRun ? 'ran' : 'unknown'};
		if (hasRun) {
			counters.ran++;
			await completeRan(record, undefined);
		} else {
			counters.unknown++;
		}

		return new gatewayError.GatewayException(record.error);
	};

	const perform = async (
		record: ownerRecords.OwnerRecord,
		execute: execution.Execute,
		maxAttempts: number,
	): Promise<answerModule.Answer> => {
		try {
			const refusal = await recordIntent(record);
			if (refusal) {
				throw refusal;
			}

			record.state = 'ready';
			const result = await attempt(record, execute, maxAttempts);
			if (result.kind === 'failed') {
				throw await finishFailed(record, result);
			}

			record.state = 'completed';
			counters.ran++;
			records.keepAnswer(record, result.answer, answerModule.sizeBytes(result.answer));
			await completeRan(record, result.answer);
			return result.answer;
		} finally {
			record.running = undefined;
		}
	};

	const repeat = async (
		record: ownerRecords.OwnerRecord,
		fingerprint: string,
	): Promise<RunResult> => {
		if (record.fingerprint !== fingerprint) {
			throw refuseUnrecorded('reused', ownerErrors.reused());
		}

		if (record.running) {
			counters.joined++;
			return {answer: await record.running, isReplay: true};
		}

		if (record.answer) {
			counters.replayed++;
			return {answer: record.answer, isReplay: true};
		}

		if (record.state === 'refused') {
			counters.notRun['refused-before']++;
		} else if (record.state === 'completed') {
			counters.ranWithoutAnswer++;
		} else {
			counters.unknownRepeated++;
		}

		throw new gatewayError.GatewayException(record.error ?? ownerErrors.answerNotKept());
	};

	/** Decides about a key without a record; undefined when it may be run. */
	const refuseUnknown = (parsed: key.ParsedKey): gatewayError.GatewayException | undefined => {
		if (parsed.expiresAtMs + limits.retentionMs <= issuer.nowMs()) {
			// Its record, if there was one, is gone.
			counters.unknownRepeated++;
			return new gatewayError.GatewayException(ownerErrors.expired('unknown'));
		}

		if (parsed.expiresAtMs <= issuer.nowMs()) {
			return refuseUnrecorded('expired', {
				...ownerErrors.expired('not-run'),
				freshKey: issuer.issue(),
			});
		}

		if (isStopped) {
			return refuseUnrecorded('stopping', ownerErrors.stopping());
		}

		return parsed.expiresAtMs <= refusedUpToMs
			? refuseUnrecorded('full', {...ownerErrors.full(), freshKey: issuer.issue()})
			: undefined;
	};

	const addRecord = (parsed: key.ParsedKey, fingerprint: string): ownerRecords.OwnerRecord => {
		const record = records.add(parsed, fingerprint, issuer.nowMs());
		if (!record) {
			refusedUpToMs = Math.max(refusedUpToMs, parsed.expiresAtMs);
			throw refuseUnrecorded('full', {...ownerErrors.full(), freshKey: issuer.issue()});
		}

		return record;
	};

	const classify = (keyText: string): KeyClass => {
		const parsed = key.parseKey(keyText);
		if (!parsed) {
			return 'invalid';
		}

		if (parsed.owner.name !== self.name) {
			return 'other';
		}

		if (parsed.owner.incarnation !== self.incarnation) {
			return 'previous';
		}

		return issuer.isIssuer(parsed) ? 'own' : 'invalid';
	};

	/** @throws GatewayException when the key is not of this incarnation. */
	const parseOwn = (keyText: string): key.ParsedKey => {
		const keyClass = classify(keyText);
		if (keyClass === 'invalid') {
			throw refuseUnrecorded('bad-key', ownerErrors.unknownKey());
		}

		if (keyClass !== 'own') {
			throw new gatewayError.GatewayException(ownerErrors.otherOwner());
		}

		return key.parseKey(keyText)!;
	};

	const sweepTimer = clock.setPeriodicTimer(() => {
		records.sweep(issuer.nowMs());
	}, sweepPeriodMs);

	return {
		classify,
		async run(keyText, fingerprint, execute, runOptions) {
			const parsed = parseOwn(keyText);
			const known = records.get(parsed.text);
			if (known) {
				return repeat(known, fingerprint);
			}

			const refusal = refuseUnknown(parsed);
			if (refusal) {
				throw refusal;
			}

			const record = addRecord(parsed, fingerprint);
			record.running = perform(record, execute, runOptions?.maxAttempts ?? 1);
			return {answer: await record.running, isReplay: false};
		},
		refuse(keyText, fingerprint) {
			const parsed = parseOwn(keyText);
			if (records.get(parsed.text)) {
				return undefined;
			}

			const refusal = refuseUnknown(parsed);
			if (refusal) {
				throw refusal;
			}

			const record = addRecord(parsed, fingerprint);
			const {error} = refuseRecord(record, 'refused-by-engine', ownerErrors.refusedByEngine());
			return {freshKey: error.freshKey!};
		},
		async handOff(others) {
			isStopped = true;
			return handOffModule.handOffRecords({
				ownerName: self.name,
				records: [...records.values()].filter((record) => ownerRecords.isFinal(record)),
				others,
				client,
				maxAnswerBytes: limits.maxAnswerBytes,
			});
		},
		counters,
		dump: () => ({
			isStopped,
			refusedUpToMs,
			...(records.dump(issuer.nowMs()) as Record<string, unknown>),
			counters: structuredClone(counters),
			unknownShare: ownerCounters.unknownShare(counters),
		}),
		dispose() {
			sweepTimer.dispose();
			ended.abort(new Error('the owner was disposed'));
		},
	};
};
