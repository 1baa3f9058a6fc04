/**
 * Shape of the embedded deployment: Serrasoft's regions, entry VMs, upstreams
 * and links, and the catalogue that its operators would keep.
 */
import * as crypto from 'node:crypto';
import * as schema from '@hawthornfront/catalogue/common/schema.js';

export const regions = ['lombardia', 'veneto', 'emilia'] as const;
export type Region = (typeof regions)[number];

/** Failure domain of a region; each region has one. */
export const failureDomainOf = (region: Region): string => `${region}-1`;

/** Seven entry VMs, three where the store is. */
export const entryVmsPerRegion: Record<Region, number> = {lombardia: 3, veneto: 2, emilia: 2};

export const runnersPerRegion = 4;
export const regionDelayMs = 50;
export const localDelayMs = 0.5;
/** Each link carries somewhat more than a gigabit a second. */
export const linkBitsPerSecond = 1.1e9;

export const model = 'contracts';
export const secret = 'demo-secret';
export const team = 'po-valley-rentals';
export const boundTeam = 'veneto-growers';

/** API key of a team of the demonstration. */
export const apiKey = (name: string): string => `${name}.${secret}`;

const owner = 'serrasoft';

const createTeam = (name: string, homeRegion?: Region): schema.Team =>
	schema.teamSchema.parse({
		kind: 'team',
		name,
		owner,
		keySha256: crypto.createHash('sha256').update(secret).digest('hex'),
		requestsPerSecond: 500,
		tokensPerSecond: 500_000,
		homeRegion,
	});

const entries: schema.Entry[] = [
	{name: 'contract-drafts', workClass: 'long', target: {kind: 'model', model}, idempotent: true},
	{name: 'fault-messages', workClass: 'short', target: {kind: 'model', model}, idempotent: true},
	{
		name: 'bookings',
		workClass: 'service',
		target: {kind: 'service', service: 'booking'},
		idempotent: false,
	},
	{
		name: 'availability',
		workClass: 'service',
		target: {kind: 'service', service: 'booking'},
		idempotent: true,
	},
	{
		name: 'veneto-bookings',
		workClass: 'service',
		target: {kind: 'service', service: 'booking'},
		idempotent: false,
		homeRegion: 'veneto',
	},
].map((entry) => schema.entrySchema.parse({kind: 'entry', owner, ...entry}));

export type UpstreamPlace = {name: string; region: Region; address: string; service: boolean};

/** Records of the catalogue for upstreams that have been started. */
export const catalogueRecords = (upstreams: UpstreamPlace[]): schema.CatalogueRecord[] => [
	createTeam(team),
	createTeam(boundTeam, 'veneto'),
	...entries,
	...upstreams.map((upstream) =>
		schema.upstreamSchema.parse({
			kind: 'upstream',
			name: upstream.name,
			type: upstream.service ? 'service' : 'runner',
			region: upstream.region,
			failureDomain: failureDomainOf(upstream.region),
			address: upstream.address,
			models: upstream.service ? [] : [model],
			service: upstream.service ? 'booking' : undefined,
			slots: upstream.service ? 64 : 8,
			resumesStreams: !upstream.service,
		}),
	),
];

const longerDeadlineMs = 180_000;

/** The catalogue after an operator's edit: a longer deadline for contract drafts. */
export const withLongerDeadline = (records: schema.CatalogueRecord[]): schema.CatalogueRecord[] =>
	records.map((record) =>
		record.kind === 'entry' && record.name === 'contract-drafts'
			? {...record, limits: {...record.limits, deadlineMs: longerDeadlineMs}}
			: record,
	);
