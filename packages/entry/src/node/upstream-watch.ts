/**
 * Keeps the scheduler up to date with the state of upstreams: the catalogue, load
 * reports polled here or received from other daemons, and leaving marks.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as httpClient from '@hawthornfront/base/common/http-client.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import type * as types from '@hawthornfront/decisions/common/types.js';
import type * as fleetInterface from '@hawthornfront/fleet/common/fleet-interface.js';
import type * as platformServices from '@hawthornfront/platform/common/platform-services.js';
import * as leavingMarks from './leaving-marks.js';
import * as loadPoller from './load-poller.js';

/** Interval at which the first relay of a domain reads the VM list. With one datagram hop, leaving VMs are detected within 3 s. */
const vmListPeriodMs = 1000;

export type UpstreamWatchOptions = {
	clock: clock.Clock;
	client: httpClient.HttpClient;
	fleet: fleetInterface.Fleet;
	scheduler: types.Scheduler;
	vmList: platformServices.VmList;
	name: string;
	region: string;
	failureDomain: string;
};

export type UpstreamWatch = disposable.Disposable & {
	dump(): unknown;
};

/** Load of an upstream for which no load report exists. */
const unknownLoad = {running: 0, waiting: 0, slots: 0, model: '', role: ''};

export const startUpstreamWatch = (options: UpstreamWatchOptions): UpstreamWatch => {
	const {clock: time, fleet, scheduler} = options;
	const resources = disposable.createDisposableStore();
	const marks = leavingMarks.createLeavingMarks(time);
	let vmListFailures = 0;

	const localUpstreams = (): schema.Upstream[] =>
		[...fleet.snapshot().upstreams.values()].filter(
			(upstream) => upstream.failureDomain === options.failureDomain,
		);

	const applyMarks = () => {
		scheduler.setLeaving(marks.current());
	};

	const applySnapshot = () => {
		const upstreams = [...fleet.snapshot().upstreams.values()];
		scheduler.setUpstreams(
			upstreams.filter((upstream) => upstream.region === options.region && !upstream.oldSetup),
		);
		applyMarks();
	};

	const readVmList = async () => {
		// One reader per domain is enough; a second one would only double the load on the VM list.
		if (fleet.relays()[0] !== options.name) {
			return;
		}

		try {
			const vms = await options.vmList.list();
			const leaving = new Set(vms.filter((vm) => vm.state === 'leaving').map((vm) => vm.address));
			for (const upstream of localUpstreams()) {
				if (leaving.has(upstream.address)) {
					const known = fleet.loadReports().get(upstream.name) ?? unknownLoad;
					marks.mark(upstream.name);
					fleet.publishLoad(upstream.name, {
						...known,
						leaving: true,
						observedAtMs: time.nowMs(),
					});
				}
			}
		} catch {
			vmListFailures++;
		}
	};

	const poller = resources.add(
		loadPoller.startLoadPoller({
			clock: time,
			client: options.client,
			upstreams: () =>
				localUpstreams().filter(
					(upstream) => upstream.type === 'runner' && fleet.isPollerOf(upstream.name),
				),
			publish(upstream, load) {
				if (marks.has(upstream) && !load.leaving) {
					scheduler.report(upstream, load);
				} else {
					fleet.publishLoad(upstream, load);
				}
			},
		}),
	);
	resources.add(fleet.onDidChangeSnapshot(applySnapshot));
	resources.add(
		fleet.onDidReceiveLoad(({upstream, report}) => {
			if (report.slots > 0) {
				scheduler.report(upstream, report);
			}

			if (report.leaving) {
				marks.mark(upstream);
				applyMarks();
			}
		}),
	);
	resources.add(
		time.setPeriodicTimer(() => {
			applyMarks();
			void readVmList();
		}, vmListPeriodMs),
	);
	applySnapshot();
	return {
		dump: () => ({
			leaving: [...marks.current()],
			pollFailures: poller.failures(),
			vmListFailures,
		}),
		dispose() {
			resources.dispose();
		},
	};
};
