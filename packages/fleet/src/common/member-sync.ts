/**
 * Exchange of member lists over `members.sync`: joining through seeds and the VM
 * list, repair after lost changes, and lists of other failure domains. Either of
 * seeds and VM list may be wrong or missing.
 */
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import * as methods from '@hawthornfront/protocol/common/fleet-methods.js';
import type * as claim from '@hawthornfront/protocol/common/claim.js';
import type * as zod from 'zod';
import * as counting from './counters.js';
import type * as fleetParts from './fleet-parts.js';
import {withTimeout} from './fleet-parts.js';

const callTimeoutMs = 2000;
const vmListTimeoutMs = 3000;
const minRepairMs = 3000;
const maxJoinAttempts = 4;
// One answer may come from a daemon that is cut off and lags behind.
const joinAnswers = 2;
/** Rough length of one claim as JSON text, for the counter of bytes. */
const claimChars = 220;

type SyncParams = zod.infer<typeof methods.membersSync.params>;
type SyncResult = zod.infer<typeof methods.membersSync.result>;

export type MemberSync = disposable.Disposable & {
	/** Starts joining after a random delay. */
	start(): void;
	hasJoined(): boolean;
	/** Fetches the differing lists from a member, at most one at a time and not often. */
	repair(peer: claim.Claim, failureDomain?: string): void;
	/** Tries one seed or VM that is not among the members, so that separated groups find each other. */
	checkCandidates(): Promise<void>;
	answer(params: SyncParams): SyncResult;
	dump(): unknown;
};

/** Creates the exchange. `onMerged` is called with a peer that answered. */
export const createMemberSync = (
	parts: fleetParts.FleetParts,
	seeds: readonly string[],
	onMerged: (peer: string, answer: {name: string; revision: number}) => void,
): MemberSync => {
	const {clock, random, settings, counters, membership, logger} = parts;
	const mayAnswer = counting.createRateBound(settings.maxAnswersPerSecond);
	const repairs = new Map<string, disposable.Disposable>();
	let hasJoined = false;
	let vmAddresses: string[] = [];
	let lastRepairMs = Number.NEGATIVE_INFINITY;
	let lastError = '';
	let joinTimer: disposable.Disposable | undefined;

	const merge = (claims: readonly claim.Claim[]) => {
		const nowMs = clock.nowMs();
		for (const item of claims) {
			membership.apply(item, nowMs);
		}

		counters.callBytes += claims.length * claimChars;
	};

	const syncWith = async (address: string, failureDomain?: string): Promise<boolean> => {
		counters.callsSent++;
		const params = {
			cluster: parts.cluster,
			from: membership.self(),
			failureDomain,
			digests: membership.digests(),
			claims: failureDomain === undefined ? [] : membership.claims(failureDomain),
		};
		counters.callBytes += params.claims.length * claimChars;
		try {
			const answer = await withTimeout(clock, callTimeoutMs, parts.signal, async (signal) =>
				parts.rpcClient.call(address, methods.membersSync, params, {
					signal,
					timeoutMs: callTimeoutMs,
				}),
			);
			if (answer.kind !== 'synced') {
				lastError = `${address} answered ${answer.kind}`;
				return false;
			}

			merge(answer.claims);
			onMerged(address, answer);
			return true;
		} catch (error) {
			counters.failedCalls++;
			lastError = error instanceof Error ? error.message : String(error);
			return false;
		}
	};

	const repairWith = async (address: string, failureDomain?: string) => {
		await syncWith(address, failureDomain);
		repairs.delete(failureDomain ?? '');
	};

	const readVmList = async () => {
		counters.vmListCalls++;
		try {
			const vms = await withTimeout(clock, vmListTimeoutMs, parts.signal, async (signal) =>
				parts.vmList.list(signal),
			);
			vmAddresses = vms.filter((vm) => vm.role === 'entry').map((vm) => vm.address);
		} catch {
			counters.failedCalls++;
		}
	};

	const candidates = (): string[] => {
		const own = membership.self().member.httpAddress;
		return [...new Set([...seeds, ...vmAddresses])].filter((address) => address !== own);
	};

	const joinOnce = async () => {
		if (vmAddresses.length === 0) {
			await readVmList();
		}

		const addresses = candidates();
		let answers = 0;
		for (let attempt = 0; attempt < maxJoinAttempts && addresses.length > 0; attempt++) {
			const [address] = addresses.splice(random.integer(0, addresses.length - 1), 1);
			if (await syncWith(address!)) {
				answers++;
			}

			if (answers >= joinAnswers) {
				return;
			}
		}
	};

	const join = async () => {
		await joinOnce();
		if (parts.signal.aborted) {
			return;
		}

		// Without any answer this daemon is the first one, or alone on its side of a cut.
		hasJoined = true;
		logger.info({members: membership.members().length, lastError}, 'joined');
		if (membership.members().length === 1 && candidates().length > 0) {
			joinTimer = clock.setTimer(
				() => {
					void join();
				},
				settings.selfHelpMs * (0.5 + random.next()),
			);
		}
	};

	return {
		start() {
			joinTimer = clock.setTimer(() => {
				void join();
			}, random.next() * settings.joinJitterMs);
		},
		hasJoined: () => hasJoined,
		repair(peer, failureDomain) {
			const key = failureDomain ?? '';
			const nowMs = clock.nowMs();
			if (repairs.has(key) || parts.signal.aborted || nowMs - lastRepairMs < minRepairMs) {
				return;
			}

			const timer = clock.setTimer(() => {
				lastRepairMs = clock.nowMs();
				void repairWith(peer.member.httpAddress, failureDomain);
			}, random.next() * settings.joinJitterMs);
			repairs.set(key, timer);
		},
		async checkCandidates() {
			if (membership.members().length === 1 || vmAddresses.length === 0) {
				await readVmList();
			}

			const known = new Set(membership.members().map((member) => member.httpAddress));
			const address = random.pick(candidates().filter((item) => !known.has(item)));
			if (address !== undefined && !parts.signal.aborted) {
				await syncWith(address);
			}
		},
		answer({cluster, from, failureDomain, digests, claims: told}) {
			if (cluster !== parts.cluster) {
				return {kind: 'foreign'};
			}

			const nowMs = clock.nowMs();
			if (!mayAnswer(nowMs)) {
				counters.callsRefused++;
				return {kind: 'busy'};
			}

			counters.callsAnswered++;
			membership.apply(from, nowMs);
			merge(told);
			const own = membership.digests();
			const claims = membership.claims(failureDomain).filter(({member}) => {
				// The caller may be remembered as a later life and must learn that.
				const isAboutCaller = member.name === from.member.name;
				return isAboutCaller || own[member.failureDomain] !== digests[member.failureDomain];
			});
			counters.callBytes += claims.length * claimChars;
			return {
				kind: 'synced',
				claims,
				name: membership.self().member.name,
				revision: parts.configuration.snapshot().revision,
			};
		},
		dump: () => ({hasJoined, seeds, vmAddresses: vmAddresses.length, lastError}),
		dispose() {
			joinTimer?.dispose();
			for (const timer of repairs.values()) {
				timer.dispose();
			}
		},
	};
};
