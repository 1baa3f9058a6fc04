/** At-most-once execution of one daemon, recreated when the incarnation of the daemon changes. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as random from '@hawthornfront/base/common/random.js';
import type * as fleetInterface from '@hawthornfront/fleet/common/fleet-interface.js';
import * as keyIssuer from '@hawthornfront/once/common/key-issuer.js';
import type * as keys from '@hawthornfront/once/common/key.js';
import * as owner from '@hawthornfront/once/common/owner.js';
import * as registerMethods from '@hawthornfront/once/common/register-methods.js';
import * as resolver from '@hawthornfront/once/common/resolver.js';
import type * as onceSettings from '@hawthornfront/once/common/settings.js';
import * as witness from '@hawthornfront/once/common/witness.js';
import * as hmacSigner from '@hawthornfront/once/node/hmac-signer.js';
import type * as rpc from '@hawthornfront/protocol/common/rpc.js';
import type * as engineServices from '../common/engine-services.js';
import * as keyedExecution from '../common/keyed-execution.js';
import * as peers from './peers.js';

export type KeyedServiceOptions = {
	fleet: fleetInterface.Fleet;
	clock: clock.Clock;
	random: random.Random;
	rpcClient: rpc.RpcClient;
	rpcServer: rpc.RpcServer;
	/** HTTP address of this daemon. */
	address: string;
	region: string;
	failureDomain: string;
	settings: onceSettings.OnceSettings;
};

export type KeyedService = disposable.Disposable & {
	readonly execution: engineServices.KeyedExecution;
};

type Generation = disposable.Disposable & {
	execution: engineServices.KeyedExecution;
	witness: witness.Witness;
};

const createGeneration = (options: KeyedServiceOptions): Generation => {
	const {fleet, clock: time, rpcClient, region, failureDomain, settings} = options;
	const resources = disposable.createDisposableStore();
	const self: keys.Peer = {...fleet.identity(), address: options.address};
	const regionPeers = () => peers.regionPeers(fleet, region);
	const domainPeers = () => peers.domainPeers(fleet, failureDomain);
	const issuer = keyIssuer.createKeyIssuer({
		self,
		clock: time,
		random: options.random.fork(),
		signer: hmacSigner.createHmacSigner(),
		witnesses: domainPeers,
		keyLifetimeMs: settings.keyLifetimeMs,
		avoidWitnessMs: settings.avoidWitnessMs,
	});
	const localWitness = resources.add(witness.createWitness({self, clock: time, settings}));
	const localOwner = resources.add(
		owner.createOwner({self, clock: time, rpcClient, issuer, settings}),
	);
	const localResolver = resources.add(
		resolver.createResolver({
			self,
			clock: time,
			rpcClient,
			witness: localWitness,
			issuer,
			peers: regionPeers,
			settings,
		}),
	);
	return {
		witness: localWitness,
		execution: keyedExecution.createKeyedExecution({
			issuer,
			owner: localOwner,
			resolver: localResolver,
			witness: localWitness,
			regionPeers,
			domainPeers,
		}),
		dispose() {
			resources.dispose();
		},
	};
};

export const createKeyedService = (options: KeyedServiceOptions): KeyedService => {
	let current = createGeneration(options);
	// A new incarnation starts with empty records. Keys of the old incarnation get the outcome
	// `unknown`, because they cannot be distinguished from keys of an earlier process.
	const listener = options.fleet.onDidChangeIdentity(() => {
		current.dispose();
		current = createGeneration(options);
	});
	const currentWitness: witness.Witness = {
		intent: (params) => current.witness.intent(params),
		complete: (params) => current.witness.complete(params),
		resolve: (params) => current.witness.resolve(params),
		handoff: (records) => current.witness.handoff(records),
		get counters() {
			return current.witness.counters;
		},
		dump: () => current.witness.dump(),
		dispose() {
			current.witness.dispose();
		},
	};
	registerMethods.registerMethods(options.rpcServer, currentWitness);
	return {
		execution: {
			issue: (count) => current.execution.issue(count),
			ownerOf: (key) => current.execution.ownerOf(key),
			run: async (key, fingerprint, execute, prepare) =>
				current.execution.run(key, fingerprint, execute, prepare),
			refuse: (key, fingerprint) => current.execution.refuse(key, fingerprint),
			resolve: async (key, fingerprint) => current.execution.resolve(key, fingerprint),
			outcomes: () => current.execution.outcomes(),
			handOff: async () => current.execution.handOff(),
			dump: () => current.execution.dump(),
		},
		dispose() {
			listener.dispose();
			current.dispose();
		},
	};
};
