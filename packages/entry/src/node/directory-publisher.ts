/** Publishes the entry VMs of the local failure domain to the platform's directory. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as fleetInterface from '@hawthornfront/fleet/common/fleet-interface.js';
import type * as platformServices from '@hawthornfront/platform/common/platform-services.js';

/** Changes within one period are published together. */
const publishPeriodMs = 2000;

export type DirectoryPublisherOptions = {
	clock: clock.Clock;
	fleet: fleetInterface.Fleet;
	directory: platformServices.Directory;
	name: string;
	failureDomain: string;
};

/** Starts publishing. Only the first relay of the domain writes, and only when the entries have changed. */
export const startDirectoryPublisher = (
	options: DirectoryPublisherOptions,
): disposable.Disposable => {
	const {fleet, directory, failureDomain} = options;
	let published = '';
	let isBusy = false;

	const publish = async () => {
		if (isBusy || fleet.relays()[0] !== options.name) {
			return;
		}

		const entries = fleet
			.members()
			.filter((member) => member.failureDomain === failureDomain && member.state === 'alive')
			.map((member) => ({
				region: member.region,
				failureDomain,
				address: member.httpAddress,
				weight: 1,
			}));
		const text = JSON.stringify(entries);
		if (text === published) {
			return;
		}

		isBusy = true;
		try {
			await directory.publish(failureDomain, entries);
			published = text;
		} catch {
			// The next period retries.
		} finally {
			isBusy = false;
		}
	};

	return options.clock.setPeriodicTimer(() => {
		void publish();
	}, publishPeriodMs);
};
