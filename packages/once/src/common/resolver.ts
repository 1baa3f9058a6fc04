/**
 * Determines the outcome of a key whose owner is dead, suspected or unreachable.
 * Requests for a live owner are forwarded to it instead. Resolving the key of a
 * live owner is safe, but may seal the key. The owner may only be paused:
 *
 * - before its intent: the witness seals the key and refuses the intent when the
 *   owner resumes, so `not-run` is certain;
 * - between intent and dispatch, or after dispatch: the witness holds an intent
 *   without a result and can't determine whether the request ran, so `unknown`;
 * - witness restarted, or owner and witness gone: the records are lost, so
 *   `unknown`, even for a request that never started.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import type * as onceMethods from '@hawthornfront/protocol/common/once-methods.js';
import type * as rpc from '@hawthornfront/protocol/common/rpc.js';
import * as answerModule from './answer.js';
import * as handOffModule from './hand-off.js';
import type * as keyIssuer from './key-issuer.js';
import * as key from './key.js';
import * as ownerErrors from './owner-errors.js';
import type * as settings from './settings.js';
import type * as witnessModule from './witness.js';
import * as witnessClient from './witness-client.js';

export type ResolverOptions = {
	self: key.Peer;
	clock: clock.Clock;
	rpcClient: rpc.RpcClient;
	/** The witness of this daemon. */
	witness: witnessModule.Witness;
	/** Issues the fresh key that comes with `not-run`. */
	issuer: keyIssuer.KeyIssuer;
	/**
	 * Live daemons of this region, the only ones that are queried. This daemon can't
	 * verify the signature of another owner's key, so it never contacts an address
	 * from the key that isn't among these.
	 */
	peers: () => readonly key.Peer[];
	settings: settings.OnceSettings;
};

export type ResolverCounters = {
	notRun: number;
	ran: number;
	unknown: Record<onceMethods.UnknownReason, number>;
	reused: number;
	badKeys: number;
};

export type Resolver = disposable.Disposable & {
	/**
	 * Returns the stored answer of a request that ran.
	 * @throws GatewayException with the outcome otherwise.
	 */
	resolve(keyText: string, fingerprint: string): Promise<answerModule.WholeAnswer>;
	readonly counters: Readonly<ResolverCounters>;
};

export const createResolver = (options: ResolverOptions): Resolver => {
	const {self, witness: ownWitness} = options;
	const client = witnessClient.createWitnessClient(options);
	const counters: ResolverCounters = {
		notRun: 0,
		ran: 0,
		unknown: {
			invalid: 0,
			'no-witness': 0,
			'witness-unreachable': 0,
			'other-incarnation': 0,
			'intent-without-completion': 0,
			forgotten: 0,
			full: 0,
		},
		reused: 0,
		badKeys: 0,
	};

	const queryPeer = async (
		peer: key.Peer,
		params: {key: string; fingerprint: string},
	): Promise<onceMethods.WireResolution | undefined> =>
		peer.name === self.name ? ownWitness.resolve(params) : client.resolve(peer, params);

	const findPeer = (name: string): key.Peer | undefined =>
		name === self.name ? self : options.peers().find((peer) => peer.name === name);

	const queryWitness = async (
		parsed: key.ParsedKey,
		params: {key: string; fingerprint: string},
	): Promise<onceMethods.WireResolution> => {
		if (!parsed.witness) {
			return {outcome: 'unknown', reason: 'no-witness'};
		}

		// The address comes from the membership. A restarted witness is queried too: it
		// answers `unknown`, unless a stopping owner transferred the record to it.
		const peer = findPeer(parsed.witness.name);
		const resolution = peer && (await queryPeer(peer, params));
		return resolution ?? {outcome: 'unknown', reason: 'witness-unreachable'};
	};

	/** Queries the daemons that hold the records of a stopped owner whose witness is gone. */
	const queryFallbackPeers = async (
		parsed: key.ParsedKey,
		params: {key: string; fingerprint: string},
	): Promise<onceMethods.WireResolution | undefined> => {
		const candidates = [self, ...options.peers().filter((peer) => peer.name !== self.name)];
		for (const peer of handOffModule.selectFallbackPeers(parsed.owner.name, candidates)) {
			if (peer.name === parsed.witness?.name) {
				continue;
			}

			const resolution = await queryPeer(peer, params);
			if (resolution && resolution.outcome !== 'unknown') {
				return resolution;
			}
		}

		return undefined;
	};

	const findResolution = async (
		parsed: key.ParsedKey,
		params: {key: string; fingerprint: string},
	): Promise<onceMethods.WireResolution> => {
		const first = await queryWitness(parsed, params);
		// A stopping owner also transfers records to fallback peers when its witness times out.
		return first.outcome === 'unknown'
			? ((await queryFallbackPeers(parsed, params)) ?? first)
			: first;
	};

	const toError = (
		resolution: Exclude<onceMethods.WireResolution, {outcome: 'ran'}>,
		peer: string,
	): gatewayError.GatewayError => {
		if (resolution.outcome === 'not-run') {
			counters.notRun++;
			return {...ownerErrors.sealed(peer), freshKey: options.issuer.issue()};
		}

		if (resolution.outcome === 'reused') {
			counters.reused++;
			return ownerErrors.reused();
		}

		counters.unknown[resolution.reason]++;
		return ownerErrors.unresolved(peer, resolution.reason);
	};

	return {
		async resolve(keyText, fingerprint) {
			const parsed = key.parseKey(keyText);
			if (!parsed) {
				counters.badKeys++;
				throw new gatewayError.GatewayException(ownerErrors.unknownKey());
			}

			const resolution = await findResolution(parsed, {key: parsed.text, fingerprint});
			if (resolution.outcome !== 'ran') {
				const peer = parsed.witness?.address ?? '';
				throw new gatewayError.GatewayException(toError(resolution, peer));
			}

			counters.ran++;
			const answer = resolution.answer && answerModule.fromStored(resolution.answer);
			if (!answer) {
				throw new gatewayError.GatewayException(ownerErrors.answerNotKept());
			}

			return answer;
		},
		counters,
		dispose() {
			client.dispose();
		},
	};
};
