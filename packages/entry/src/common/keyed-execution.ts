/** Implements at-most-once execution for the request engine. */
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import type * as keyIssuer from '@hawthornfront/once/common/key-issuer.js';
import * as keys from '@hawthornfront/once/common/key.js';
import * as ownerErrors from '@hawthornfront/once/common/owner-errors.js';
import type * as ownerModule from '@hawthornfront/once/common/owner.js';
import type * as resolverModule from '@hawthornfront/once/common/resolver.js';
import type * as witnessModule from '@hawthornfront/once/common/witness.js';
import type * as engineServices from './engine-services.js';

export type KeyedExecutionParts = {
	issuer: keyIssuer.KeyIssuer;
	owner: ownerModule.Owner;
	resolver: resolverModule.Resolver;
	witness: witnessModule.Witness;
	/** Live daemons of this region, except this daemon. */
	regionPeers: () => readonly keys.Peer[];
	/** Live daemons of this failure domain, except this daemon. */
	domainPeers: () => readonly keys.Peer[];
};

/** Combines issuer, owner, resolver and witness behind one interface. */
export const createKeyedExecution = (
	parts: KeyedExecutionParts,
): engineServices.KeyedExecution => ({
	issue: (count) => Array.from({length: count}, () => parts.issuer.issue()),
	ownerOf(key) {
		const keyClass = parts.owner.classify(key);
		if (keyClass === 'invalid') {
			throw new gatewayError.GatewayException(ownerErrors.unknownKey());
		}

		if (keyClass !== 'other') {
			return {kind: keyClass === 'own' ? 'self' : 'gone'};
		}

		const owner = keys.parseKey(key)?.owner;
		const live = parts.regionPeers().find((peer) => peer.name === owner?.name);
		return live && owner && keys.isSameIncarnation(live, owner)
			? {kind: 'other', address: live.address}
			: {kind: 'gone'};
	},
	async run(key, fingerprint, execute, prepare) {
		const {answer} = await parts.owner.run(key, fingerprint, execute, {prepare});
		if (!answer.body) {
			throw new gatewayError.GatewayException(ownerErrors.answerNotKept());
		}

		return {...answer, body: answer.body};
	},
	refuse: (key, fingerprint) => parts.owner.refuse(key, fingerprint),
	resolve: async (key, fingerprint) => parts.resolver.resolve(key, fingerprint),
	outcomes() {
		const {counters: ownerCounts} = parts.owner;
		const resolved = parts.resolver.counters;
		const sum = (counts: Record<string, number>) =>
			Object.values(counts).reduce((total, count) => total + count, 0);
		return {
			ran:
				ownerCounts.ran +
				ownerCounts.joined +
				ownerCounts.replayed +
				ownerCounts.ranWithoutAnswer +
				resolved.ran,
			'not-run': sum(ownerCounts.notRun) + resolved.notRun,
			unknown: ownerCounts.unknown + ownerCounts.unknownRepeated + sum(resolved.unknown),
		};
	},
	async handOff() {
		await parts.owner.handOff(parts.domainPeers());
	},
	dump: () => ({
		owner: parts.owner.dump(),
		ownerCounters: parts.owner.counters,
		witness: parts.witness.dump(),
		witnessCounters: parts.witness.counters,
		resolverCounters: parts.resolver.counters,
	}),
});
