/** Settings of the gateway daemon, read from an INI file. */
import * as setting from '@hawthornfront/decisions/common/setting.js';
import * as settings from '@hawthornfront/base/node/settings.js';
import * as zod from 'zod';
import * as loadSettings from '../common/load-settings.js';

/** A limit that the platform may leave empty. */
const limitSetting = (minimum: number, maximum: number) =>
	zod.preprocess(
		(value) => (value === '' ? undefined : value),
		settings.numberSetting(minimum, maximum).optional(),
	);

export const gatewaySettingsSchema = zod.strictObject({
	vm: zod.strictObject({
		name: zod.string().min(1, 'expected the name of the VM'),
		region: zod.string().min(1, 'expected a region'),
		failureDomain: zod.string().min(1, 'expected a failure domain'),
		/** Processor cores of the VM, possibly a fraction, for the directory's choice between VMs. */
		processorShare: setting.number(1, 0.01, 64),
	}),
	/** Limits of the VM for the process; without a value, no limit is known. */
	limits: zod
		.strictObject({
			memoryMb: limitSetting(16, 1_048_576),
			/** File descriptors, connections included. */
			maxDescriptors: limitSetting(64, 10_000_000),
		})
		.default({memoryMb: undefined, maxDescriptors: undefined}),
	listen: zod.strictObject({
		callers: settings.addressSetting,
		readiness: settings.addressSetting,
		directory: settings.addressSetting,
		/** Address for other daemons, over TCP and UDP. */
		peers: settings.addressSetting,
		metrics: settings.addressSetting,
	}),
	/** Region of each failure domain. */
	failureDomains: zod.record(zod.string(), zod.string()),
	store: zod.strictObject({
		address: settings.addressSetting,
		/** Longest wait of one watch. Peers and a lease renewal that fails reveal a silent connection earlier. */
		watchWaitMs: setting.number(15_000, 100, 30_000),
		/**
		 * Longest wait of a watch of the leading watcher of a failure domain: how long silent
		 * connections of all watchers can hide changes.
		 */
		leadingWatchWaitMs: setting.number(2000, 100, 30_000),
		memberLeaseMs: setting.number(9000, 1000, 600_000),
		/** Daemons of a failure domain that watch the store; one more than can fail at once without a delay of changes. */
		watchersPerFailureDomain: setting.number(2, 1, 100),
	}),
	peers: zod.strictObject({
		/** Addresses of a few VMs for the first contact. They may be stale, and their ports are not used. */
		seedAddresses: settings.listSetting(settings.addressSetting),
		gossipEveryMs: setting.number(250, 50, 10_000),
	}),
	stop: zod.strictObject({
		/** Time between the stop signal and the forced end of the process. */
		graceS: setting.number(8, 0.5, 600),
	}),
	resends: zod.strictObject({
		/** Resends that each request adds to the budget. */
		share: setting.share(0.2),
		/** Resends that all daemons together may make in a window in addition to that share. */
		extraPerWindow: setting.number(54, 0, 1_000_000),
		windowS: setting.number(10, 0.1, 600),
	}),
	quarantine: zod
		.strictObject({
			/** Duration of the first quarantine of a prompt part that crashes upstreams; each further one is twice as long. */
			firstS: setting.number(120, 1, 86_400),
			/** Longest duration; at most the longest lease of the store. */
			maxS: setting.number(600, 1, 600),
		})
		.default({firstS: 120, maxS: 600}),
	directory: zod.strictObject({
		/** Time for which callers may cache a directory answer. */
		timeToLiveS: setting.number(2, 0.1, 60),
	}),
	decisions: loadSettings.loadSettingsSchema.default(loadSettings.loadSettingsSchema.parse({})),
});
export type GatewaySettings = zod.infer<typeof gatewaySettingsSchema>;

/** Reads and checks a settings file. @throws SettingsError */
export const readGatewaySettings = (file: string): GatewaySettings =>
	settings.readSettings(file, gatewaySettingsSchema);

/** Splits `host:port`. */
export const splitAddress = (address: string): {host: string; port: number} => {
	const separator = address.lastIndexOf(':');
	return {host: address.slice(0, separator), port: Number(address.slice(separator + 1))};
};
