/**
 * Takes one received request through its execution: intent at the witness,
 * attempts, completion at the witness.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as answerModule from './answer.js';
import * as execution from './execution.js';
import type * as keyIssuer from './key-issuer.js';
import type * as ownerCounters from './owner-counters.js';
import * as ownerErrors from './owner-errors.js';
import type * as ownerRecords from './owner-records.js';
import type * as settings from './settings.js';
import type * as witnessClient from './witness-client.js';

export type ExecutorOptions = {
	clock: clock.Clock;
	client: witnessClient.WitnessClient;
	issuer: keyIssuer.KeyIssuer;
	records: ownerRecords.OwnerRecords;
	counters: ownerCounters.OwnerCounters;
	settings: settings.OnceSettings;
	/** True when nothing may be sent any more. */
	isStopped: () => boolean;
};

export type Executor = {
	/**
	 * Executes a request whose record was just made.
	 * @throws GatewayException with the outcome.
	 */
	perform(
		record: ownerRecords.OwnerRecord,
		execute: execution.Execute,
		runOptions?: execution.RunOptions,
	): Promise<answerModule.Answer>;
	/** Refuses a record for good. */
	refuse(
		record: ownerRecords.OwnerRecord,
		reason: ownerCounters.NotRunReason,
		error: gatewayError.GatewayError,
	): gatewayError.GatewayException;
};

/** Creates the executor of one owner. */
export const createExecutor = (options: ExecutorOptions): Executor => {
	const {clock, client, issuer, records, counters, settings: limits} = options;

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
		if (!record.parsed.witness) {
			return;
		}

		const stored = answer && answerModule.toStored(answer, limits.maxAnswerBytes);
		const completion = complete(record, {outcome: 'ran', ...(stored ? {answer: stored} : {})});
		let timer: disposable.Disposable | undefined;
		const waited = new Promise<void>((resolve) => {
			timer = clock.setTimer(resolve, limits.completionWaitMs);
		});
		await Promise.race([completion, waited]);
		timer?.dispose();
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

	/** Returns an error when the preparation failed; no intent was recorded then. */
	const prepare = async (
		record: ownerRecords.OwnerRecord,
		runOptions?: execution.RunOptions,
	): Promise<gatewayError.GatewayException | undefined> => {
		try {
			await runOptions?.prepare?.();
			return undefined;
		} catch (error) {
			const known = execution.toGatewayError(error);
			return refuseRecord(record, 'failed-before-sending', known);
		}
	};

	const checkSend = (record: ownerRecords.OwnerRecord): gatewayError.GatewayError | undefined => {
		if (options.isStopped()) {
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
		runOptions?: execution.RunOptions,
	): Promise<answerModule.Answer> => {
		try {
			const refusal = (await prepare(record, runOptions)) ?? (await recordIntent(record));
			if (refusal) {
				throw refusal;
			}

			record.state = 'ready';
			const result = await attempt(record, execute, runOptions?.maxAttempts ?? 1);
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

	return {perform, refuse: refuseRecord};
};
