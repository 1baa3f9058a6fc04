/**
 * The owner of a key: the only daemon that executes a non-idempotent request.
 * The states of a request are received, intent sent, ready, dispatched, completed.
 * A caller that received `not-run` may retry under a fresh key, so a refused key
 * stays refused.
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

/** Issuer of a key; `previous` is an earlier incarnation of this daemon. */
export type KeyClass = 'own' | 'previous' | 'other' | 'invalid';

export type RunResult = {
	answer: answerModule.Answer;
	/** True when the request was executed for an earlier call. */
	isReplay: boolean;
};

export type Owner = disposable.Disposable & {
	/** Returns the issuer of a key; only `own` keys can be run here. */
	classify(keyText: string): KeyClass;
	/**
	 * Executes a request at most once under its key, or returns the result of an
	 * earlier call with the same key. The fingerprint must cover the team, the entry,
	 * the method, the path and the body: a request with the same key and fingerprint
	 * receives the stored answer.
	 * @throws GatewayException with the outcome; `not-run` is final for the key.
	 */
	run(
		keyText: string,
		fingerprint: string,
		execute: execution.Execute,
		options?: execution.RunOptions,
	): Promise<RunResult>;
	/**
	 * Permanently refuses the key of a request that is rejected before `run`.
	 * Returns undefined when the key was received before; `run` returns its outcome.
	 */
	refuse(keyText: string, fingerprint: string): {freshKey: string} | undefined;
	/** Permanently stops execution and transfers the final records to other daemons. */
	handOff(others: readonly key.Peer[]): Promise<handOffModule.HandOffResult>;
	readonly counters: Readonly<ownerCounters.OwnerCounters>;
	/** State, without request content. */
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
	// When the table is full, a refusal can't be recorded. Instead, every key that
	// has no record and expires at or before this time counts as refused.
	let refusedUpToMs = -1;

	const createCountedException = (
		reason: ownerCounters.NotRunReason,
		error: gatewayError.GatewayError,
	): gatewayError.GatewayException => {
		counters.notRun[reason]++;
		return new gatewayError.GatewayException(error);
	};

	const answerRepeat = async (
		record: ownerRecords.OwnerRecord,
		fingerprint: string,
	): Promise<RunResult> => {
		if (record.fingerprint !== fingerprint) {
			throw createCountedException('reused', ownerErrors.reused());
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

	/** Returns the error for a key without a record; undefined when it may be run. */
	const checkNewKey = (parsed: key.ParsedKey): gatewayError.GatewayException | undefined => {
		if (parsed.expiresAtMs + limits.retentionMs <= issuer.nowMs()) {
			// A record of this key would have been removed by now.
			counters.unknownRepeated++;
			return new gatewayError.GatewayException(ownerErrors.expired('unknown'));
		}

		if (parsed.expiresAtMs <= issuer.nowMs()) {
			return createCountedException('expired', {
				...ownerErrors.expired('not-run'),
				freshKey: issuer.issue(),
			});
		}

		if (isStopped) {
			return createCountedException('stopping', ownerErrors.stopping());
		}

		return parsed.expiresAtMs <= refusedUpToMs
			? createCountedException('full', {...ownerErrors.full(), freshKey: issuer.issue()})
			: undefined;
	};

	const addRecord = (parsed: key.ParsedKey, fingerprint: string): ownerRecords.OwnerRecord => {
		const record = records.add(parsed, fingerprint, issuer.nowMs());
		if (!record) {
			refusedUpToMs = Math.max(refusedUpToMs, parsed.expiresAtMs);
			throw createCountedException('full', {...ownerErrors.full(), freshKey: issuer.issue()});
		}

		return record;
	};

	const parseAndClassify = (
		keyText: string,
	): {keyClass: KeyClass; parsed: key.ParsedKey | undefined} => {
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

	/** @throws GatewayException when this incarnation did not issue the key. */
	const parseOwnKey = (keyText: string): key.ParsedKey => {
		const {keyClass, parsed} = parseAndClassify(keyText);
		if (!parsed || keyClass === 'invalid') {
			throw createCountedException('bad-key', ownerErrors.unknownKey());
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
		classify: (keyText) => parseAndClassify(keyText).keyClass,
		async run(keyText, fingerprint, execute, runOptions) {
			const parsed = parseOwnKey(keyText);
			const known = records.get(parsed.text);
			if (known) {
				return answerRepeat(known, fingerprint);
			}

			const refusal = checkNewKey(parsed);
			if (refusal) {
				throw refusal;
			}

			const record = addRecord(parsed, fingerprint);
			record.running = executor.perform(record, execute, runOptions);
			return {answer: await record.running, isReplay: false};
		},
		refuse(keyText, fingerprint) {
			const parsed = parseOwnKey(keyText);
			if (records.get(parsed.text)) {
				return undefined;
			}

			const refusal = checkNewKey(parsed);
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
