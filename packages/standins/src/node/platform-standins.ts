/** Stand-ins of the VM list, the directory and the weight store. */
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import * as randomModule from '@hawthornfront/base/common/random.js';
import * as platformServices from '@hawthornfront/platform/common/platform-services.js';
import * as h3 from 'h3';
import * as zod from 'zod';
import * as standinServer from './standin-server.js';

export type PlatformFaults = {
	/** Every call is reset without taking effect. */
	isDown: boolean;
	/** Added before a call takes effect. */
	slowMs: number;
};

type Options<Settings> = {
	clock: clockModule.Clock;
	seed: number;
	settings?: Partial<standinServer.ListenSettings & Settings>;
};

/** Applies the faults that all platform services share; false when the call ends here. */
const passesFaults = async (
	clock: clockModule.Clock,
	faults: PlatformFaults,
	exchange: standinServer.Exchange,
): Promise<boolean> => {
	if (faults.slowMs > 0) {
		await clock.sleep(faults.slowMs, exchange.signal);
	}

	if (faults.isDown) {
		standinServer.resetConnection(exchange);
		return false;
	}

	return true;
};

const serve = async (app: h3.H3, settings: Partial<standinServer.ListenSettings> = {}) =>
	standinServer.createStandinServer(app, {
		host: settings.host ?? standinServer.defaultListen.host,
		port: settings.port ?? standinServer.defaultListen.port,
	});

export type VmListFaults = PlatformFaults & {
	/** A change becomes visible this long after it was made. */
	lagMs: number;
	/** Probability that an entry is left out of an answer. */
	omitProbability: number;
	/** Probability that the state of an entry is answered wrongly. */
	wrongStateProbability: number;
	/** Entries that are answered although no such VM exists. */
	extra: platformServices.Vm[];
};

export type VmListStandin = {
	readonly address: string;
	readonly faults: VmListFaults;
	readonly counts: {lists: number};
	/** Adds or replaces a VM by name. */
	put(vm: platformServices.Vm): void;
	remove(name: string): void;
	close(): Promise<void>;
};

/** Starts a VM list: `GET /vms`. */
export const createVmListStandin = async (
	options: Options<{vms: platformServices.Vm[]; lagMs: number}>,
): Promise<VmListStandin> => {
	const {clock} = options;
	const random = randomModule.createRandom(options.seed);
	const faults: VmListFaults = {
		isDown: false,
		slowMs: 0,
		lagMs: options.settings?.lagMs ?? 0,
		omitProbability: 0,
		wrongStateProbability: 0,
		extra: [],
	};
	const counts = {lists: 0};
	let states = [{atMs: Number.NEGATIVE_INFINITY, vms: options.settings?.vms ?? []}];
	const change = (vms: platformServices.Vm[]) => {
		const nowMs = clock.nowMs();
		const inForce = states.findLastIndex((state) => state.atMs <= nowMs - faults.lagMs);
		states = [...states.slice(Math.max(0, inForce)), {atMs: nowMs, vms}];
	};

	const visible = () => {
		const state = states.findLast((item) => item.atMs <= clock.nowMs() - faults.lagMs);
		const vms = (state?.vms ?? []).filter(() => random.next() >= faults.omitProbability);
		const answered = vms.map((vm) =>
			random.next() < faults.wrongStateProbability
				? {...vm, state: vm.state === 'live' ? ('leaving' as const) : ('live' as const)}
				: vm,
		);
		return [...answered, ...faults.extra];
	};

	const app = new h3.H3();
	standinServer.addRoute(app, 'GET', '/vms', async (exchange) => {
		counts.lists++;
		if (await passesFaults(clock, faults, exchange)) {
			standinServer.answerJson(exchange, 200, {vms: visible()});
		}
	});
	const server = await serve(app, options.settings);
	const latest = () => states.at(-1)?.vms ?? [];
	return {
		address: server.address,
		faults,
		counts,
		put(vm) {
			change([...latest().filter((item) => item.name !== vm.name), vm]);
		},
		remove(name) {
			change(latest().filter((item) => item.name !== name));
		},
		close: server.close,
	};
};

export type DirectoryStandin = {
	readonly address: string;
	readonly faults: PlatformFaults;
	readonly counts: {reads: number; publications: number};
	/** Entries published by each failure domain. */
	readonly entries: ReadonlyMap<string, platformServices.DirectoryEntry[]>;
	close(): Promise<void>;
};

const publicationSchema = zod.object({entries: zod.array(platformServices.directoryEntrySchema)});

/** Starts a directory: `GET /directory` and `PUT /directory/{failureDomain}`. */
export const createDirectoryStandin = async (
	options: Options<Record<never, never>>,
): Promise<DirectoryStandin> => {
	const faults: PlatformFaults = {isDown: false, slowMs: 0};
	const counts = {reads: 0, publications: 0};
	const entries = new Map<string, platformServices.DirectoryEntry[]>();
	const app = new h3.H3();
	standinServer.addRoute(app, 'GET', '/directory', async (exchange) => {
		counts.reads++;
		if (await passesFaults(options.clock, faults, exchange)) {
			standinServer.answerJson(exchange, 200, {entries: [...entries.values()].flat()});
		}
	});
	standinServer.addRoute(app, 'PUT', '/directory/:failureDomain', async (exchange) => {
		counts.publications++;
		if (!(await passesFaults(options.clock, faults, exchange))) {
			return;
		}

		const publication = publicationSchema.safeParse(standinServer.jsonBody(exchange));
		if (!publication.success) {
			standinServer.answerJson(exchange, 400, {error: 'expected entries'});
			return;
		}

		const failureDomain = decodeURIComponent(exchange.path.slice('/directory/'.length));
		entries.set(failureDomain, publication.data.entries);
		standinServer.answerJson(exchange, 200, {});
	});
	const server = await serve(app, options.settings);
	return {address: server.address, faults, counts, entries, close: server.close};
};

export type WeightStoreStandin = {
	readonly address: string;
	readonly faults: PlatformFaults;
	readonly counts: {granted: number; limited: number};
	close(): Promise<void>;
};

const ticketRequestSchema = zod.object({model: zod.string(), runner: zod.string()});
const defaultTicketPeriodMs = 10_000;

/** Starts a weight store that grants one ticket a period: `POST /weights/tickets`. */
export const createWeightStoreStandin = async (
	options: Options<{ticketPeriodMs: number}>,
): Promise<WeightStoreStandin> => {
	const {clock} = options;
	const faults: PlatformFaults = {isDown: false, slowMs: 0};
	const counts = {granted: 0, limited: 0};
	const ticketPeriodMs = options.settings?.ticketPeriodMs ?? defaultTicketPeriodMs;
	let nextAtMs = Number.NEGATIVE_INFINITY;
	const issue = (model: string): platformServices.WeightTicket => {
		const nowMs = clock.nowMs();
		if (nowMs < nextAtMs) {
			counts.limited++;
			return {kind: 'limited', retryAfterMs: nextAtMs - nowMs};
		}

		counts.granted++;
		nextAtMs = nowMs + ticketPeriodMs;
		return {kind: 'granted', model};
	};

	const app = new h3.H3();
	standinServer.addRoute(app, 'POST', '/weights/tickets', async (exchange) => {
		if (!(await passesFaults(clock, faults, exchange))) {
			return;
		}

		const request = ticketRequestSchema.safeParse(standinServer.jsonBody(exchange));
		if (request.success) {
			standinServer.answerJson(exchange, 200, issue(request.data.model));
		} else {
			standinServer.answerJson(exchange, 400, {error: 'expected model and runner'});
		}
	});
	const server = await serve(app, options.settings);
	return {address: server.address, faults, counts, close: server.close};
};
