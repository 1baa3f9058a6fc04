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
import type * as answerModule from './answer.js';
import type * as execution from './execution.js';
import * as handOffModule from './hand-off.js';
import type * as keyIssuer from './key-issuer.js';
import * as key from './key.js';
import * as ownerCounters from './owner-counters.js';
import * as ownerErrors from './owner-errors.js';
import * as ownerExecution from './owner-execution.js';
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
	 * with the same key gave. The fingerprint must cover the team, the entry, the
	 * method, the path and the body, since an equal one is given the kept answer.
	 * @throws GatewayException with the outcome; `not-run` is final for the key.
	 */
	run(
		keyText: string,
		fingerprint: string,
		execute: execution.Execute,
		options?: execution.RunOptions,
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
	const client = witnessClient.createWitnessClient({
		clock,
		rpcClient: options.rpcClient,
		settings: limits,
	});
	const records = ownerRecords.createOwnerRecords(limits);
	const counters = ownerCounters.createOwnerCounters();
	let isStopped = false;
	const executor = ownerExecution.createExecutor({
		clock,
		client,
		issuer,
		records,
		counters,
		settings: limits,
		isStopped: () => isStopped,
	});
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

	const read = (keyText: string): {keyClass: KeyClass; parsed: key.ParsedKey | undefined} => {
		const parsed = key.parseKey(keyText);
		if (!parsed) {
			return {keyClass: 'invalid', parsed};
		}

		if (parsed.owner.name !== self.name) {
			return {keyClass: 'other', parsed};
		}

		if (parsed.owner.incarnation !== self.incarnation) {
			return {keyClass: 'previous', parsed};
		}

		return {keyClass: issuer.isIssuer(parsed) ? 'own' : 'invalid', parsed};
	};

	/** @throws GatewayException when the key is not of this incarnation. */
	const readOwn = (keyText: string): key.ParsedKey => {
		const {keyClass, parsed} = read(keyText);
		if (!parsed || keyClass === 'invalid') {
			throw refuseUnrecorded('bad-key', ownerErrors.unknownKey());
		}

		if (keyClass !== 'own') {
			throw new gatewayError.GatewayException(ownerErrors.otherOwner());
		}

		return parsed;
	};

	const sweepTimer = clock.setPeriodicTimer(() => {
		records.sweep(issuer.nowMs());
	}, sweepPeriodMs);

	return {
		classify: (keyText) => read(keyText).keyClass,
		async run(keyText, fingerprint, execute, runOptions) {
			const parsed = readOwn(keyText);
			const known = records.get(parsed.text);
			if (known) {
				return repeat(known, fingerprint);
			}

			const refusal = refuseUnknown(parsed);
			if (refusal) {
				throw refusal;
			}

			const record = addRecord(parsed, fingerprint);
			record.running = executor.perform(record, execute, runOptions);
			return {answer: await record.running, isReplay: false};
		},
		refuse(keyText, fingerprint) {
			const parsed = readOwn(keyText);
			if (records.get(parsed.text)) {
				return undefined;
			}

			const refusal = refuseUnknown(parsed);
			if (refusal) {
				throw refusal;
			}

			const record = addRecord(parsed, fingerprint);
			const {error} = executor.refuse(record, 'refused-by-engine', ownerErrors.refusedByEngine());
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
			client.dispose();
		},
	};
};
