/** Settings of the gateway daemon, read from an INI file. */
import * as setting from '@hawthornfront/decisions/common/setting.js';
import * as settings from '@hawthornfront/base/node/settings.js';
import * as zod from 'zod';
import * as loadSettings from '../common/load-settings.js';
import * as platformValues from '../common/platform-values.js';

const ranges = platformValues.numberRanges;

/** A number that the platform fills in; {@link platformValues.adaptPlatformValues} brings it into its range. */
const platformNumber = ({
	initial,
	minimum,
	maximum,
}: {initial: number} & platformValues.NumberRange) => setting.number(initial, minimum, maximum);

/** A limit that the platform may leave empty. */
const platformLimit = ({minimum, maximum}: platformValues.NumberRange) =>
	settings.numberSetting(minimum, maximum).optional();

export const gatewaySettingsSchema = zod.strictObject({
	vm: zod.strictObject({
		name: zod.string().min(1, 'expected the name of the VM'),
		region: zod.string().min(1, 'expected a region'),
		failureDomain: zod.string().min(1, 'expected a failure domain'),
		/** Processor cores of the VM, possibly a fraction, for the directory's choice between VMs. */
		processorShare: platformNumber(ranges.vm.processorShare),
	}),
	/** Limits of the VM for the process; without a value, no limit is known. */
	limits: zod
		.strictObject({
			memoryMb: platformLimit(ranges.limits.memoryMb),
			/** File descriptors, connections included. */
			maxDescriptors: platformLimit(ranges.limits.maxDescriptors),
		})
		.default({memoryMb: undefined, maxDescriptors: undefined}),
	listen: zod.strictObject({
		callers: settings.addressSetting,
		readiness: settings.addressSetting,
		directory: settings.addressSetting,
		/** Address for other daemons, over TCP and UDP. */
		peers: settings.addressSetting,
		/** Without it, the daemon serves no metrics. */
		metrics: settings.addressSetting.optional(),
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
		graceS: platformNumber(ranges.stop.graceS),
	}),
	resends: zod.strictObject({
		/** Resends that each request adds to the budget. */
		share: platformNumber(ranges.resends.share),
		/** Resends that all daemons together may make in a window in addition to that share. */
		extraPerWindow: platformNumber(ranges.resends.extraPerWindow),
		windowS: platformNumber(ranges.resends.windowS),
	}),
	quarantine: zod
		.strictObject({
			/** Duration of the first quarantine of a prompt part that crashes upstreams; each further one is twice as long. */
			firstS: setting.number(120, 1, 86_400),
			/** Longest duration; at most the longest lease of the store. */
			maxS: setting.number(600, 1, 600),
		})
		.default({firstS: 120, maxS: 600}),
	/** Bounds on what all daemons together admit over the quotas of teams; without them, quotas do not apply. */
	quotas: zod
		.strictObject({
			windowS: platformNumber(ranges.quotas.windowS),
			/** Share of what a quota allows in a window that may be admitted in excess. */
			excessShare: platformNumber(ranges.quotas.excessShare),
			/** Tokens that may be admitted in a window in excess of that. */
			slack: platformNumber(ranges.quotas.slack),
		})
		.optional(),
	directory: zod.strictObject({
		/** Time for which callers may cache a directory answer. */
		timeToLiveS: platformNumber(ranges.directory.timeToLiveS),
	}),
	decisions: loadSettings.loadSettingsSchema.default(loadSettings.loadSettingsSchema.parse({})),
});
export type GatewaySettings = zod.infer<typeof gatewaySettingsSchema>;

/** Settings, and the values of the platform that they replace. */
export type AdaptedSettings = {
	settings: GatewaySettings;
	adjustments: platformValues.SettingAdjustment[];
};

/** Checks the text of a settings file. @throws SettingsError */
export const parseGatewaySettings = (text: string, file: string): AdaptedSettings => {
	let adjustments: platformValues.SettingAdjustment[] = [];
	const parsed = settings.parseSettings(text, file, gatewaySettingsSchema, (sections) => {
		adjustments = platformValues.adaptPlatformValues(sections);
	});
	return {settings: parsed, adjustments};
};

/** Splits `host:port`. */
export const splitAddress = (address: string): {host: string; port: number} => {
	const separator = address.lastIndexOf(':');
	return {host: address.slice(0, separator), port: Number(address.slice(separator + 1))};
};
