/**
 * Executes one received request: records the intent at the witness, runs the
 * attempts and sends the completion to the witness.
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
	/** True when no further request may be sent. */
	isStopped: () => boolean;
};

export type Executor = {
	/**
	 * Executes a request whose record was just added.
	 * @throws GatewayException with the outcome.
	 */
	perform(
		record: ownerRecords.OwnerRecord,
		execute: execution.Execute,
		runOptions?: execution.RunOptions,
	): Promise<answerModule.Answer>;
	/** Permanently refuses a record. */
	refuse(
		record: ownerRecords.OwnerRecord,
		reason: ownerCounters.NotRunReason,
		error: gatewayError.GatewayError,
	): gatewayError.GatewayException;
};

/** Creates the executor of one owner. */
export const createExecutor = (options: ExecutorOptions): Executor => {
	const {clock, client, issuer, records, counters, settings: limits} = options;

	const sendNotRunCompletion = (record: ownerRecords.OwnerRecord) => {
		// Without this completion, the witness would answer `unknown` for an intent
		// that was recorded and never executed.
		void sendCompletion(record, {outcome: 'not-run'});
	};

	const refuseRecord = (
		record: ownerRecords.OwnerRecord,
		reason: ownerCounters.NotRunReason,
		error: gatewayError.GatewayError,
	): gatewayError.GatewayException => {
		record.state = 'refused';
		// Every retry receives the same fresh key, so that two copies of one request
		// can't be executed as two requests.
		record.error = {...error, outcome: 'not-run', freshKey: issuer.issue()};
		counters.notRun[reason]++;
		return new gatewayError.GatewayException(record.error);
	};

	const sendCompletion = async (
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

	/**
	 * Delays the answer by at most `completionWaitMs` for the completion to reach the
	 * witness, so that the outcome is still known if the owner crashes afterwards.
	 */
	const sendRanCompletion = async (
		record: ownerRecords.OwnerRecord,
		answer: answerModule.Answer | undefined,
	) => {
		if (!record.parsed.witness) {
			return;
		}

		const stored = answer && answerModule.toStored(answer, limits.maxAnswerBytes);
		const completion = sendCompletion(record, {
			outcome: 'ran',
			...(stored ? {answer: stored} : {}),
		});
		let timer: disposable.Disposable | undefined;
		const waitEnded = new Promise<void>((resolve) => {
			timer = clock.setTimer(resolve, limits.completionWaitMs);
		});
		await Promise.race([completion, waitEnded]);
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
			sendNotRunCompletion(record);
		}

		return error;
	};

	/** Returns an error when the preparation failed; in that case no intent was recorded. */
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

	const checkMaySend = (
		record: ownerRecords.OwnerRecord,
	): gatewayError.GatewayError | undefined => {
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
				() => checkMaySend(record),
				(isSent) => {
					record.state = isSent ? 'dispatched' : 'ready';
				},
			);
			const canRetry =
				result.kind === 'failed' && !result.isSent && number < maxAttempts && !checkMaySend(record);
			if (!canRetry) {
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
			sendNotRunCompletion(record);
			return error;
		}

		const hasRun = failure.error.outcome === 'ran';
		record.state = hasRun ? 'completed' : 'unknown';
		record.error = {...failure.error, outcome: hasRun ? 'ran' : 'unknown'};
		if (hasRun) {
			counters.ran++;
			await sendRanCompletion(record, undefined);
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
			await sendRanCompletion(record, result.answer);
			return result.answer;
		} finally {
			record.running = undefined;
		}
	};

	return {perform, refuse: refuseRecord};
};
