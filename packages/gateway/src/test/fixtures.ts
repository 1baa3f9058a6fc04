/** A small deployment of two regions. */
import type * as clockService from '@hawthornfront/base/common/clock.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as crashDetector from '../common/crash-detector.js';
import * as dispatcher from '../common/dispatcher.js';
import * as fleetView from '../common/fleet-view.js';
import type * as gatewayEvent from '../common/gateway-event.js';
import type * as gossipMessage from '../common/gossip-message.js';
import * as loadSettings from '../common/load-settings.js';
import * as promptQuarantine from '../common/prompt-quarantine.js';
import type * as routeConfig from '../common/route-config.js';
import type * as upstreamEntry from '../common/upstream-entry.js';
import * as upstreamPauses from '../common/upstream-pauses.js';
import * as upstreamRateLimits from '../common/upstream-rate-limits.js';
import * as upstreamRegistry from '../common/upstream-registry.js';
import type * as upstreamTransport from '../common/upstream-transport.js';
import type * as wireFormat from '../common/wire-format.js';
import * as workEstimate from '../common/work-estimate.js';

export const regionByDomain: Readonly<Record<string, string>> = {
	'north-a': 'north',
	'north-b': 'north',
	'south-a': 'south',
};

export const longRoute: routeConfig.Route = {
	name: 'drafts',
	host: 'a.example',
	prefix: '/drafts/',
	work: 'stream',
	canResume: false,
	timeoutMs: 12_000,
	goalMs: 1000,
	maxEventGapMs: 600,
	maxUpstreams: 1,
	rank: 1,
	homeRegions: [],
	isPublic: false,
	targets: [{service: 'model', weight: 1}],
};

export const shortRoute: routeConfig.Route = {
	...longRoute,
	name: 'questions',
	prefix: '/questions/',
	canResume: true,
	timeoutMs: 3000,
	goalMs: 800,
	maxUpstreams: 2,
	rank: 0,
};

export const bookingRoute: routeConfig.Route = {
	...longRoute,
	name: 'bookings',
	prefix: '/bookings/',
	work: 'unsafe',
	timeoutMs: 2500,
	goalMs: 300,
	rank: 2,
	targets: [{service: 'desk', weight: 1}],
};

export const lookupRoute: routeConfig.Route = {
	...bookingRoute,
	name: 'lookups',
	prefix: '/lookups/',
	work: 'safe',
	maxUpstreams: 2,
};

export const modelService: routeConfig.Service = {
	name: 'model',
	maxConnections: 100,
	coldRatePerS: 4.6,
	engine: {slots: 16, eventTokens: 7, memoryTokens: 100_000},
};

export const deskService: routeConfig.Service = {
	name: 'desk',
	maxConnections: 100,
	coldRatePerS: 0,
};

export const config: routeConfig.RouteConfig = {
	version: 3,
	routes: [longRoute, shortRoute, bookingRoute, lookupRoute],
	services: [modelService, deskService],
	teams: [],
	limits: {headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMs: 3000, idleMs: 15_000},
};

export const upstream = (
	id: string,
	options: Partial<upstreamEntry.UpstreamEntry> = {},
): upstreamEntry.UpstreamEntry => ({
	id,
	service: 'model',
	address: `10.0.0.1:${1000 + (id.codePointAt(id.length - 1) ?? 0)}`,
	failureDomain: 'north-a',
	slots: 16,
	isDraining: false,
	coldLeftMs: 0,
	...options,
});

export const member = (
	name: string,
	options: Partial<gossipMessage.MemberRecord> = {},
): gossipMessage.MemberRecord => ({
	name,
	region: 'north',
	failureDomain: 'north-a',
	callerAddress: `${name}:80`,
	peerAddress: `${name}:90`,
	startedAtUnixMs: 1,
	isReady: true,
	isLeaving: false,
	configVersion: 1,
	upstreamRevision: 1,
	operatorRevision: 1,
	upstreamLastChange: options.upstreamRevision ?? 1,
	operatorLastChange: options.operatorRevision ?? 1,
	storeContact: 'reached',
	capacity: 1,
	...options,
});

export const facts = (options: Partial<wireFormat.RequestFacts> = {}): wireFormat.RequestFacts => ({
	attemptId: 'attempt-1',
	promptTokens: 1000,
	maxOutputTokens: 100,
	promptParts: [
		{id: 'system', tokens: 300},
		{id: 'topic', tokens: 400},
		{id: 'own', tokens: 300},
	],
	...options,
});

export const settings = loadSettings.loadSettingsSchema.parse({});

export const quarantineSettings: promptQuarantine.QuarantineSettings = {
	firstMs: 120_000,
	maxMs: 600_000,
};

/** Creates the services of an engine that watch prompts for crashes of upstreams. */
export const createCrashServices = (
	clock: clockService.Clock,
	transport: upstreamTransport.UpstreamTransport,
	log: gatewayEvent.EventLog,
) => {
	const quarantine = promptQuarantine.createPromptQuarantine(clock, () => quarantineSettings);
	return {
		quarantine,
		crashes: crashDetector.createCrashDetector({clock, transport, quarantine, log}),
	};
};

/** Creates the dispatcher of a daemon in `north-a` with its clock, registry and fleet view. */
export const createDeployment = (daemonName = 'n1') => {
	const clock = new manualClock.ManualClock();
	const registry = upstreamRegistry.createUpstreamRegistry(clock, (name) => regionByDomain[name], {
		unsettledMs: () => 0,
	});
	const fleet = fleetView.createFleetView(clock, daemonName);
	const evacuated = new Set<string>();
	const rateLimits = upstreamRateLimits.createUpstreamRateLimits(clock);
	const pauses = upstreamPauses.createUpstreamPauses(clock, random.createRandom(5).next);
	const subject = dispatcher.createDispatcher({
		clock,
		settings,
		daemonName,
		localRegion: 'north',
		localFailureDomain: 'north-a',
		regions: ['north', 'south'],
		registry,
		fleet,
		rateLimits,
		pauses,
		isEvacuated: (name) => evacuated.has(name),
		limitSharers: {
			names: () => [daemonName, ...fleet.aliveIn('north').map(({name}) => name)],
			areKnown: () => true,
		},
		sender: {isSender: () => true},
		random: random.createRandom(7).next,
	});
	return {clock, registry, fleet, evacuated, rateLimits, pauses, subject};
};

/** Creates the dispatcher's input for one request. */
export const dispatchRequest = (
	route: routeConfig.Route,
	options: Partial<dispatcher.DispatchRequest> & {facts?: wireFormat.RequestFacts} = {},
): dispatcher.DispatchRequest => ({
	route,
	service: route.targets[0]!.service === 'model' ? modelService : deskService,
	work: workEstimate.estimateWork(
		options.facts ??
			(route.work === 'stream' ? facts() : facts({promptTokens: 0, promptParts: []})),
		route,
	),
	rank: route.rank,
	remainingMs: route.timeoutMs,
	triedUpstreams: new Set(),
	failedUpstreams: new Set(),
	triedRegions: new Set(),
	mayRelay: true,
	wasAccepted: false,
	...options,
});
