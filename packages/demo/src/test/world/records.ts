/** Catalogue of the test deployment. */
import * as crypto from 'node:crypto';
import * as schema from '@hawthornfront/catalogue/common/schema.js';

export const team = 'crew';
export const apiKey = `${team}.secret`;

export type UpstreamPlace = {
	name: string;
	address: string;
	region: string;
	isRunner: boolean;
	models: string[];
	/** Part of the old inference setup. */
	isOld?: boolean;
};

/** Model `far` is served in the other region only. */
export const upstreamPlaces: UpstreamPlace[] = [
	{name: 'home-r1', address: '10.1.0.1:1', region: 'home', isRunner: true, models: ['m']},
	{name: 'home-r2', address: '10.1.0.2:1', region: 'home', isRunner: true, models: ['m']},
	{name: 'home-s1', address: '10.1.0.3:1', region: 'home', isRunner: false, models: []},
	{name: 'home-s2', address: '10.1.0.4:1', region: 'home', isRunner: false, models: []},
	{name: 'away-r1', address: '10.1.1.1:1', region: 'away', isRunner: true, models: ['m', 'far']},
	{name: 'away-r2', address: '10.1.1.2:1', region: 'away', isRunner: true, models: ['m', 'far']},
	{
		name: 'old-r1',
		address: '10.1.0.9:1',
		region: 'home',
		isRunner: true,
		models: ['m'],
		isOld: true,
	},
	{name: 'away-s1', address: '10.1.1.3:1', region: 'away', isRunner: false, models: []},
];

const owner = 'kaasik';
const deadlineMs = 20_000;

/** A team that may send one request a second. */
export const smallTeam = 'small-crew';

const keySha256 = crypto.createHash('sha256').update('secret').digest('hex');

/** Records; `weight` makes two catalogues differ. */
export const records = (weight = 1): schema.CatalogueRecord[] => [
	schema.teamSchema.parse({
		kind: 'team',
		name: smallTeam,
		owner,
		keySha256,
		requestsPerSecond: 1,
	}),
	schema.teamSchema.parse({
		kind: 'team',
		name: team,
		owner,
		keySha256,
		weight,
	}),
	...[
		{name: 'ask', workClass: 'short', target: {kind: 'model', model: 'm'}, idempotent: true},
		{name: 'ask-far', workClass: 'short', target: {kind: 'model', model: 'far'}, idempotent: true},
		{
			name: 'ask-shared',
			workClass: 'short',
			target: {kind: 'model', model: 'm'},
			idempotent: true,
			oldSetupShare: 0.5,
		},
		{name: 'report', workClass: 'long', target: {kind: 'model', model: 'm'}, idempotent: true},
		{
			name: 'order',
			workClass: 'service',
			target: {kind: 'service', service: 'orders'},
			idempotent: false,
		},
		{
			name: 'look',
			workClass: 'service',
			target: {kind: 'service', service: 'orders'},
			idempotent: true,
		},
		{
			name: 'bound-order',
			workClass: 'service',
			target: {kind: 'service', service: 'orders'},
			idempotent: false,
			homeRegion: 'away',
		},
	].map((entry) =>
		schema.entrySchema.parse({kind: 'entry', owner, limits: {deadlineMs}, ...entry}),
	),
	...upstreamPlaces.map(({name, address, region, isRunner, models, isOld}) =>
		schema.upstreamSchema.parse({
			kind: 'upstream',
			name,
			type: isRunner ? 'runner' : 'service',
			region,
			failureDomain: `${region}-1`,
			address,
			models,
			service: isRunner ? undefined : 'orders',
			slots: 4,
			resumesStreams: isRunner && !isOld,
			oldSetup: isOld,
		}),
	),
];
