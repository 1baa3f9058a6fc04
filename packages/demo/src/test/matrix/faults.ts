/** Faults that the matrix injects. Each acts on the world at the moment of its step. */
import * as records from '../world/records.js';
import type * as world from '../world/world.js';

/** What a fault needs to know of the request that it hits. */
export type FaultContext = {
	system: world.World;
	/** Entry VM that serves the request. */
	entryVm: world.EntryVm;
	/** The other entry VM of its failure domain. */
	neighbour: world.EntryVm;
	/** Upstream that has the request, if it got that far. */
	upstream: string | undefined;
	/** Ends the caller. */
	goAway(): void;
	/** Sends the same request to the neighbour. */
	sendAgain(): void;
};

export type Fault = {
	name: string;
	apply(context: FaultContext): void;
	/** True when nothing that serves a request in the own region is hit. */
	isHarmlessAtHome: boolean;
};

const pauseMs = 15_000;
const slowLinkMs = 1500;

const later = ({system}: FaultContext, delayMs: number, action: () => void) => {
	system.clock.setTimer(action, delayMs);
};

const pickUpstreams = ({system, upstream}: FaultContext) =>
	upstream === undefined
		? []
		: [system.upstreams.get(upstream)].filter((item) => item !== undefined);

/** A fault of the upstream that has the request; without one, of the first of its kind at home. */
const upstreamFault = (
	name: string,
	act: (context: FaultContext, address: string) => void,
): Fault => ({
	name,
	isHarmlessAtHome: false,
	apply(context) {
		for (const upstream of pickUpstreams(context)) {
			act(context, upstream.address);
		}
	},
});

const modeFault = (name: string, mode: 'reset' | 'hang' | 'slow' | 'late'): Fault =>
	upstreamFault(name, ({system}, address) => {
		system.upstreams.get(address)!.mode = mode;
	});

export const faults: Fault[] = [
	{
		name: 'caller gone',
		isHarmlessAtHome: false,
		apply(context) {
			context.goAway();
		},
	},
	{
		name: 'caller tries again elsewhere',
		isHarmlessAtHome: false,
		apply(context) {
			context.sendAgain();
		},
	},
	{
		name: 'entry daemon crashes',
		isHarmlessAtHome: false,
		apply({entryVm}) {
			entryVm.crash();
		},
	},
	{
		name: 'entry daemon pauses',
		isHarmlessAtHome: false,
		apply(context) {
			context.entryVm.setPaused(true);
			later(context, pauseMs, () => {
				context.entryVm.setPaused(false);
			});
		},
	},
	{
		name: 'entry daemon stops as planned',
		isHarmlessAtHome: true,
		apply({entryVm}) {
			void entryVm.daemon.stop();
		},
	},
	{
		name: 'witness crashes',
		isHarmlessAtHome: false,
		apply({neighbour}) {
			neighbour.crash();
		},
	},
	upstreamFault('upstream refuses connections', ({system}, address) => {
		system.refuseConnections(address);
	}),
	modeFault('upstream resets', 'reset'),
	modeFault('upstream hangs', 'hang'),
	modeFault('upstream slows', 'slow'),
	modeFault('upstream answers late', 'late'),
	upstreamFault('upstream dies', ({system}, address) => {
		system.upstreams.get(address)!.mode = 'dead';
		system.refuseConnections(address);
	}),
	{
		name: 'upstream leaves',
		isHarmlessAtHome: true,
		apply(context) {
			for (const upstream of pickUpstreams(context)) {
				upstream.isLeaving = true;
			}
		},
	},
	{
		name: 'link between regions cut',
		isHarmlessAtHome: true,
		apply({system}) {
			system.setCut('home', 'away', true);
			system.setCut('away', 'home', true);
		},
	},
	{
		name: 'link cut one way',
		isHarmlessAtHome: true,
		apply({system}) {
			system.setCut('away', 'home', true);
		},
	},
	{
		name: 'link slow',
		isHarmlessAtHome: true,
		apply({system}) {
			system.regionDelayMs = slowLinkMs;
		},
	},
	{
		name: 'store down',
		isHarmlessAtHome: true,
		apply({system}) {
			system.store.mode = 'down';
		},
	},
	{
		name: 'store slow',
		isHarmlessAtHome: true,
		apply({system}) {
			system.store.mode = 'slow';
			system.store.slowMs = pauseMs;
		},
	},
	{
		name: 'catalogue edited meanwhile',
		isHarmlessAtHome: true,
		apply({system}) {
			system.configure(records.records(2));
		},
	},
];

const retryInPauseMs = 10_000;

/** Only after a pause: the fleet has given the paused daemon up by then, so the witness resolves the key. */
export const retryDuringPause: Fault = {
	name: 'caller tries again elsewhere during the pause',
	isHarmlessAtHome: false,
	apply(context) {
		later(context, retryInPauseMs, () => {
			context.sendAgain();
		});
	},
};

/** @throws Error when there is no fault of this name. */
export const faultNamed = (name: string): Fault => {
	const found = [...faults, retryDuringPause].find((fault) => fault.name === name);
	if (!found) {
		throw new Error(`there is no fault "${name}"`);
	}

	return found;
};
