/** Runs one request through the engine on a manual clock. */
import * as clockService from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import type * as answerBuffers from '../common/answer-buffers.js';
import type * as gatewayEvent from '../common/gateway-event.js';
import * as requestEngine from '../common/request-engine.js';
import * as sharedRetryBudget from '../common/shared-retry-budget.js';
import type * as routeConfig from '../common/route-config.js';
import type * as wireFormat from '../common/wire-format.js';
import * as fakeTransport from './fake-transport.js';
import * as fixtures from './fixtures.js';

export const bytes = (text: string) => new TextEncoder().encode(text);
export const signed = {signed: '1', attempt: 'attempt-1'};
/** Heads of answers that prove that the request of the harness has not run. */
export const refused = {refused: '1', attempt: 'attempt-1'};
export const wrongUpstream = {attempt: 'attempt-1'};

export type RunOptions = {
	relayedFrom?: string;
	isRelayedByEarlierConfig?: boolean;
	maxUpstreams?: number;
	team?: routeConfig.Team;
	rawHeaders?: readonly string[];
	/** Facts that differ from those of the fixtures. */
	facts?: Partial<wireFormat.RequestFacts>;
	onEnd?: requestEngine.OnEnd;
	upstreams?: number;
	/** Resends that the budget allows; 16 when undefined. */
	resends?: number;
	/** Requests wait for their connections until the test reports them as sent. */
	isConnecting?: boolean;
	buffers?: answerBuffers.AnswerBuffers;
	/** Wraps the manual clock for the engine. */
	engineClock?(clock: manualClock.ManualClock): clockService.Clock;
};

/** Clock of a stalled event loop: no timer fires before the stall ends. */
export class StalledLoopClock extends clockService.Clock {
	constructor(
		readonly inner: clockService.Clock,
		readonly stalledUntilMs: number,
	) {
		super();
	}

	override nowMs(): number {
		return this.inner.nowMs();
	}

	override wallMs(): number {
		return this.inner.wallMs();
	}

	override setTimer(callback: () => void, delayMs: number): disposable.Disposable {
		return this.inner.setTimer(callback, Math.max(delayMs, this.stalledUntilMs - this.nowMs()));
	}
}

/** Starts a request; the test plays the upstreams. */
export const start = (route: routeConfig.Route, options: RunOptions = {}) => {
	const deployment = fixtures.createDeployment();
	const {clock, fleet, registry, subject} = deployment;
	const service =
		route.targets[0]!.service === 'model' ? fixtures.modelService : fixtures.deskService;
	for (let index = 1; index <= (options.upstreams ?? 3); index++) {
		registry.put(fixtures.upstream(`u${index}`, {service: service.name}), 1);
	}

	const transport = new fakeTransport.FakeTransport();
	transport.shouldConnectAtOnce = options.isConnecting !== true;
	const reply = new fakeTransport.FakeReply();
	const events: gatewayEvent.GatewayEvent[] = [];
	const budget = sharedRetryBudget.createSharedRetryBudget(
		() => clock.nowMs(),
		() => ({share: 0, extraPerWindow: (options.resends ?? 16) / 0.8, windowMs: 10_000}),
		() => 1,
	);
	const laterConfigs: string[] = [];
	const engineClock = options.engineClock?.(clock) ?? clock;
	const log: gatewayEvent.EventLog = {
		note(event) {
			events.push(event);
		},
	};
	const crashServices = fixtures.createCrashServices(engineClock, transport, log);
	const engine = requestEngine.createRequestEngine({
		clock: engineClock,
		wire: new fakeTransport.FakeWire(),
		dispatcher: subject,
		transport,
		budget,
		...crashServices,
		buffers: options.buffers,
		log,
		localRegion: 'north',
		isReachable: fleet.isReachable,
		onLaterConfig(peer, version) {
			laterConfigs.push(`${peer}: ${version}`);
		},
		versions: () => ({configVersion: 3, upstreamRevision: 1}),
	});
	const isModel = service.name === 'model';
	let endCount = 0;
	const execution = engine.handle(
		{
			method: 'POST',
			path: `${route.prefix}x`,
			rawHeaders: options.rawHeaders ?? [],
			digest: () => 'digest',
			facts: fixtures.facts({
				callerTimeoutMs: 3000,
				...(isModel ? {} : {promptTokens: 0, promptParts: []}),
				...options.facts,
			}),
			route,
			service,
			team: options.team,
			configVersion: 1,
			arrivedAtMs: clock.nowMs(),
			isRelayedByEarlierConfig: options.isRelayedByEarlierConfig,
			maxUpstreams: options.maxUpstreams ?? route.maxUpstreams,
			relayedFrom: options.relayedFrom,
		},
		reply,
		(mayHaveRun) => {
			endCount++;
			options.onEnd?.(mayHaveRun);
		},
	);
	const endEvent = () => events.find((event) => event.kind === 'request-ended');
	return {
		...deployment,
		...crashServices,
		transport,
		reply,
		events,
		laterConfigs,
		execution,
		endEvent,
		endCount: () => endCount,
	};
};

/** Value of a request header. */
export const headerOf = (sent: fakeTransport.SentRequest, name: string) =>
	sent.request.headers[sent.request.headers.indexOf(name) + 1];
