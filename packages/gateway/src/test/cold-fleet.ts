/**
 * Daemons of one region in front of one upstream that restarts and comes back cold, on a
 * manual clock and without a network. The parts that decide what may be sent are those of
 * the product; members, datagrams, the store and the upstream are models.
 */
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as coldUpstreamLimiter from '../common/cold-upstream-limiter.js';
import * as fleetView from '../common/fleet-view.js';
import * as regionSender from '../common/region-sender.js';
import * as upstreamWarmth from '../common/upstream-warmth.js';
import * as fakeTransport from './fake-transport.js';
import * as fixtures from './fixtures.js';

export const coldRatePerS = 4.1;
/** Bound of the users' pages on the requests in one second, of all daemons together. */
export const allowedInOneSecond = coldRatePerS * 1.5 + 3;

const stepMs = 5;
const datagramEveryMs = 250;
const reportDelayMs = 20;
const maxDatagramMs = 60;
/** Peers that get one message at the same time. */
const delayGroups = 3;
const peersPerTick = 6;

export type Daemon = {
	readonly name: string;
	isCutOff: boolean;
	isInformed: boolean;
	isRunning: boolean;
	isStopping: boolean;
	/** Requests that callers send to it, in a second. */
	requestsPerS: number;
};

type Running = Daemon & {
	warmth: upstreamWarmth.UpstreamWarmth;
	limiter: coldUpstreamLimiter.ColdUpstreamLimiter;
	sender: regionSender.RegionSender;
	transport: fakeTransport.FakeTransport;
	answered: number;
	heardAtMs: Map<string, number>;
	left: Set<string>;
};

export type ColdFleetOptions = {
	daemons: number;
	seed: number;
	requestsPerS: number;
	/** Share of the datagrams that are lost. */
	lossShare: number;
};

/** Starts daemons that know each other. */
export const startColdFleet = (options: ColdFleetOptions) => {
	const clock = new manualClock.ManualClock();
	const {next, integer} = random.createRandom(options.seed);
	const upstream = {entry: fixtures.upstream('u1'), region: 'north', coldUntilMs: 0};
	const state = {isUp: true, coldUntilMs: Number.NEGATIVE_INFINITY};
	/** Requests that reached the upstream, in order. */
	const arrivals: number[] = [];
	const daemons: Running[] = [];
	let tick = 0;

	const hears = (from: Daemon, to: Daemon) =>
		from.isRunning && to.isRunning && from !== to && !from.isCutOff && !to.isCutOff;

	const deliver = (from: Running, peers: Running[]) => {
		const reports = from.warmth.takeReports();
		const reached = peers.filter((to) => hears(from, to) && next() >= options.lossShare);
		for (let group = 0; reports.length > 0 && group < delayGroups; group++) {
			const to = reached.filter((_, index) => index % delayGroups === group);
			clock.setTimer(
				() => {
					for (const {warmth} of to) {
						warmth.merge(upstream, reports[0]!, from.name);
					}
				},
				1 + next() * maxDatagramMs,
			);
		}
	};

	const start = (name: string): Running => {
		const heardAtMs = new Map<string, number>();
		const left = new Set<string>();
		const transport = new fakeTransport.FakeTransport();
		const isAlive = (other: string) =>
			clock.nowMs() - (heardAtMs.get(other) ?? Number.NEGATIVE_INFINITY) <
			fleetView.memberLostAfterMs;
		const sender = regionSender.createRegionSender({
			nowMs: () => clock.nowMs(),
			daemonName: name,
			members: () =>
				[...heardAtMs.keys()]
					.filter((other) => left.has(other) || isAlive(other))
					.map((other) => ({name: other, isLeaving: left.has(other), startedAtUnixMs: 1})),
			unknownMembers: () => 0,
			isStopping: () => daemon.isStopping,
		});
		const warmth = upstreamWarmth.createUpstreamWarmth({
			clock,
			transport,
			wire: new fakeTransport.FakeWire(),
			log: {note: () => undefined},
			sender,
			isInformed: () => daemon.isInformed,
			coldRatePerS: () => coldRatePerS,
			random: next,
		});
		const daemon: Running = {
			name,
			isCutOff: false,
			isInformed: true,
			isRunning: true,
			isStopping: false,
			requestsPerS: options.requestsPerS,
			warmth,
			limiter: coldUpstreamLimiter.createColdUpstreamLimiter(() => clock.nowMs(), sender),
			sender,
			transport,
			answered: 0,
			heardAtMs,
			left,
		};
		warmth.onDidChange(({source, belief}) => {
			if (belief !== 'warm') {
				daemon.limiter.noteRestricted('u1');
			}

			if (source === upstreamWarmth.ownSource) {
				clock.setTimer(() => {
					deliver(daemon, daemons);
				}, reportDelayMs);
			}
		});
		return daemon;
	};

	const answerQuestions = (daemon: Running) => {
		for (; daemon.answered < daemon.transport.sent.length; daemon.answered++) {
			const {listener, isCancelled} = daemon.transport.sent[daemon.answered]!;
			if (isCancelled) {
				continue;
			}

			if (state.isUp) {
				const coldMs = state.coldUntilMs - clock.nowMs();
				listener.onHead(200, coldMs > 0 ? {cold: String(Math.ceil(coldMs))} : {});
			} else {
				listener.onFailure({mayHaveBeenSent: false, detail: 'ECONNREFUSED'});
				daemon.warmth.suspect(upstream, 'refused');
			}
		}
	};

	const trySend = (daemon: Running) => {
		const {warmth, limiter} = daemon;
		const pace = warmth.paceOf(upstream, coldRatePerS);
		if (pace === 'ask') {
			warmth.ask(upstream);
		} else if (pace === 'usual') {
			limiter.noteUsual('u1');
		}

		if (pace === 'usual' || (pace === 'slow' && limiter.mayUse('u1', coldRatePerS))) {
			if (pace === 'slow') {
				limiter.noteUse('u1', coldRatePerS);
			}

			warmth.noteUse(upstream, coldRatePerS);
			if (state.isUp) {
				arrivals.push(clock.nowMs());
			} else {
				warmth.suspect(upstream, 'refused');
			}
		}
	};

	const step = () => {
		const isTick = ++tick % (datagramEveryMs / stepMs) === 0;
		for (const daemon of daemons) {
			if (!daemon.isRunning) {
				continue;
			}

			answerQuestions(daemon);
			if (isTick) {
				daemon.sender.update();
				deliver(
					daemon,
					Array.from({length: peersPerTick}, () => daemons[integer(0, daemons.length - 1)]!),
				);
				// Heartbeats pass from peer to peer.
				for (const peer of daemons) {
					if (hears(peer, daemon)) {
						daemon.heardAtMs.set(peer.name, clock.nowMs());
					}
				}
			}

			if (next() < (daemon.requestsPerS * stepMs) / 1000) {
				trySend(daemon);
			}
		}
	};

	for (let index = 0; index < options.daemons; index++) {
		daemons.push(start(`n${index}`));
	}

	const run = async (durationMs: number) => {
		for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
			step();
			await clock.advance(stepMs);
		}
	};

	return {
		clock,
		daemons: daemons as Daemon[],
		run,
		/** Sent by all daemons, since a time. */
		sentSince: (fromMs: number) => arrivals.filter((atMs) => atMs >= fromMs).length,
		/** Most requests in one second while the upstream was cold, and their sum. */
		coldArrivals(fromMs: number, toMs: number) {
			const cold = arrivals.filter((atMs) => atMs >= fromMs && atMs < toMs);
			let most = 0;
			let first = 0;
			for (const [index, atMs] of cold.entries()) {
				while (cold[first]! <= atMs - 1000) {
					first++;
				}

				most = Math.max(most, index - first + 1);
			}

			return {most, sum: cold.length};
		},
		/** The upstream ends; a share of the daemons see their connections end. */
		crash(seenShare: number) {
			state.isUp = false;
			for (const daemon of daemons) {
				if (daemon.isRunning && next() < seenShare) {
					daemon.warmth.suspect(upstream, 'broken');
				}
			}
		},
		/** The upstream is back under its id. */
		comeBack(coldMs: number) {
			state.isUp = true;
			state.coldUntilMs = clock.nowMs() + coldMs;
		},
		becomeCold(coldMs: number) {
			state.coldUntilMs = clock.nowMs() + coldMs;
		},
		/** The store has the entry; informed daemons read it after different times. */
		writeEntry(maxDelayMs: number) {
			const leftMs = state.coldUntilMs - clock.nowMs();
			for (const daemon of daemons.filter(({isInformed}) => isInformed)) {
				clock.setTimer(() => {
					if (daemon.isRunning) {
						daemon.warmth.noteCold(upstream, leftMs);
					}
				}, next() * maxDelayMs);
			}
		},
		/** A daemon that nobody knows yet, that knows some, and that has listed the store. */
		join(name: string, knownCount: number) {
			const daemon = start(name);
			for (const {name: other} of daemons.slice(0, knownCount)) {
				daemon.heardAtMs.set(other, clock.nowMs());
			}

			daemons.push(daemon);
			const leftMs = state.coldUntilMs - clock.nowMs();
			if (leftMs > 0) {
				daemon.warmth.noteCold(upstream, leftMs);
			}

			return daemon as Daemon;
		},
		/** The daemon stops as planned; a share of the others hear of it. */
		leave(daemon: Daemon, heardShare: number) {
			daemon.isStopping = true;
			for (const other of daemons.filter(() => next() < heardShare)) {
				other.left.add(daemon.name);
			}
		},
		senders: () => daemons.filter(({isRunning, sender}) => isRunning && sender.isSender('u1')),
	};
};
