/** INI settings of `hawthornfront-placer`. */
import * as settings from '@hawthornfront/base/node/settings.js';
import * as zod from 'zod';
import type * as placer from '../common/placer.js';

const maxMs = 86_400_000;

const milliseconds = (defaultMs: number, minimumMs = 1) =>
	settings.numberSetting(minimumMs, maxMs).default(defaultMs);

const name = zod
	.string('expected a name')
	.regex(/^[a-z\d][a-z\d-]*$/u, 'expected lower-case letters, digits and hyphens');

const share = (defaultShare: number) => settings.numberSetting(0, 1).default(defaultShare);

const leaseSchema = zod
	.object({
		ttlMs: milliseconds(15_000, 1000),
		/** Last part of the lease, in which no order is sent; covers the delivery time of an order. */
		marginMs: milliseconds(5000),
		renewMs: milliseconds(3000),
		standbyMs: milliseconds(10_000),
	})
	.prefault({});

const placementSchema = zod
	.object({
		role: zod.string().min(1).default('mixed'),
		// 770,000 tokens/s on 600 runners with 8 slots each.
		tokensPerSecondPerSlot: settings.numberSetting(0.001, 1e6).default(160),
		highShare: share(0.8),
		lowShare: share(0.5),
		minChangeMs: milliseconds(600_000),
		maxChangesInProgress: settings.numberSetting(1, 1000).default(2),
		demandHalfLifeMs: milliseconds(60_000),
		demandStaleMs: milliseconds(90_000),
	})
	.prefault({});

const ordersSchema = zod
	.object({
		roundMs: milliseconds(1000),
		repeatMs: milliseconds(10_000),
		timeoutMs: milliseconds(1000),
		loadTimeoutMs: milliseconds(600_000),
		settledMs: milliseconds(30_000),
		silentMs: milliseconds(45_000),
		demandMs: milliseconds(30_000),
	})
	.prefault({});

export const placerSettingsSchema = zod
	.object({
		placer: zod.object(
			{
				name,
				region: name,
				/** Numeric address of the operator endpoints. */
				host: zod.ipv4('expected a numeric IPv4 address'),
				httpPort: settings.numberSetting(0, 65_535),
				logLevel: zod.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
			},
			'expected a section with "name", "region", "host" and "httpPort"',
		),
		platform: zod.object(
			{store: settings.addressSetting, weightStore: settings.addressSetting},
			'expected a section with "store" and "weightStore"',
		),
		entries: zod.object(
			{
				/** Entry daemons of this region, polled for their demand. */
				addresses: settings.listSetting(settings.addressSetting),
			},
			'expected a section with "addresses"',
		),
		lease: leaseSchema,
		placement: placementSchema,
		orders: ordersSchema,
	})
	.superRefine(({lease, placement, orders}, context) => {
		const refuse = (path: string[], message: string) => {
			context.addIssue({code: 'custom', path, message});
		};

		if (lease.marginMs < 2 * orders.timeoutMs) {
			refuse(['lease', 'marginMs'], 'expected at least twice timeoutMs of section [orders]');
		}

		if (lease.ttlMs < lease.marginMs + 2 * lease.renewMs) {
			refuse(['lease', 'ttlMs'], 'expected at least marginMs and twice renewMs together');
		}

		if (orders.silentMs < orders.settledMs + 2 * orders.roundMs) {
			refuse(['orders', 'silentMs'], 'expected at least settledMs and twice roundMs together');
		}

		if (placement.demandStaleMs <= orders.demandMs) {
			refuse(['placement', 'demandStaleMs'], 'expected more than demandMs of section [orders]');
		}

		if (placement.lowShare >= placement.highShare) {
			refuse(['placement', 'lowShare'], 'expected less than highShare');
		}
	});
export type PlacerIni = zod.infer<typeof placerSettingsSchema>;

const catalogueMs = 2000;

/** Converts the INI settings to the settings of the placer. */
export const toPlacerSettings = (ini: PlacerIni): placer.PlacerSettings => {
	const {lease, placement, orders} = ini;
	return {
		region: ini.placer.region,
		name: ini.placer.name,
		leaseMs: lease.ttlMs,
		leaseMarginMs: lease.marginMs,
		renewMs: lease.renewMs,
		standbyMs: lease.standbyMs,
		catalogueMs,
		roundMs: orders.roundMs,
		observation: {
			settledMs: orders.settledMs,
			silentMs: orders.silentMs,
			demandMs: orders.demandMs,
			demand: {halfLifeMs: placement.demandHalfLifeMs, staleMs: placement.demandStaleMs},
		},
		placement: {
			role: placement.role,
			tokensPerSecondPerSlot: placement.tokensPerSecondPerSlot,
			highShare: placement.highShare,
			lowShare: placement.lowShare,
			minChangeMs: placement.minChangeMs,
			maxChangesInProgress: placement.maxChangesInProgress,
		},
		orders: {
			repeatMs: orders.repeatMs,
			maxLoadsInProgress: placement.maxChangesInProgress,
			loadTimeoutMs: orders.loadTimeoutMs,
		},
	};
};
