/**
 * Exchanges member lists over `members.sync`: joins through seeds and the VM
 * list, repairs views after lost changes (anti-entropy), and fetches lists of
 * other failure domains. Either the seeds or the VM list may be wrong or missing.
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
// A single answer may come from a partitioned daemon with an outdated view.
const requiredJoinAnswers = 2;
/** Approximate length of one claim as JSON text, for the `callBytes` counter. */
const claimChars = 220;

type SyncParams = zod.infer<typeof methods.membersSync.params>;
type SyncResult = zod.infer<typeof methods.membersSync.result>;

export type MemberSync = disposable.Disposable & {
	/** Starts joining after a random delay. */
	start(): void;
	hasJoined(): boolean;
	/** Fetches the lists that differ from a peer; one repair per failure domain, rate-limited. */
	repair(peer: claim.Claim, failureDomain?: string): void;
	/** Syncs with one seed or VM that is not a member, so that separated groups merge. */
	checkCandidates(): Promise<void>;
	answer(params: SyncParams): SyncResult;
	dump(): unknown;
};

/** Creates the exchange. `onMerged` is called after the claims of a peer's answer are merged. */
export const createMemberSync = (
	parts: fleetParts.FleetParts,
	seeds: readonly string[],
	onMerged: (peer: string, answer: {name: string; revision: number}) => void,
): MemberSync => {
	const {clock, random, settings, counters, membership, logger} = parts;
	const tryTakeToken = counting.createRateLimiter(settings.maxAnswersPerSecond);
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

	const refreshVmAddresses = async () => {
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
		const selfAddress = membership.self().member.httpAddress;
		return [...new Set([...seeds, ...vmAddresses])].filter((address) => address !== selfAddress);
	};

	const joinOnce = async () => {
		if (vmAddresses.length === 0) {
			await refreshVmAddresses();
		}

		const addresses = candidates();
		let answers = 0;
		for (let attempt = 0; attempt < maxJoinAttempts && addresses.length > 0; attempt++) {
			const [address] = addresses.splice(random.integer(0, addresses.length - 1), 1);
			if (await syncWith(address!)) {
				answers++;
			}

			if (answers >= requiredJoinAnswers) {
				return;
			}
		}
	};

	const join = async () => {
		await joinOnce();
		if (parts.signal.aborted) {
			return;
		}

		// If no peer answered, this daemon is the first one or alone on its side of a partition.
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
				await refreshVmAddresses();
			}

			const known = new Set(membership.members().map((member) => member.httpAddress));
			const address = random.pick(candidates().filter((item) => !known.has(item)));
			if (address !== undefined && !parts.signal.aborted) {
				await syncWith(address);
			}
		},
		answer({cluster, from, failureDomain, digests, claims: receivedClaims}) {
			if (cluster !== parts.cluster) {
				return {kind: 'foreign'};
			}

			const nowMs = clock.nowMs();
			if (!tryTakeToken(nowMs)) {
				counters.callsRefused++;
				return {kind: 'busy'};
			}

			counters.callsAnswered++;
			membership.apply(from, nowMs);
			merge(receivedClaims);
			const localDigests = membership.digests();
			const claims = membership.claims(failureDomain).filter(({member}) => {
				// The caller's own claim is always sent: this view may hold a higher incarnation of it.
				const isAboutCaller = member.name === from.member.name;
				return (
					isAboutCaller || localDigests[member.failureDomain] !== digests[member.failureDomain]
				);
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
