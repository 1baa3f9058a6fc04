/** Starts the stand-ins of a settings file. */
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import type * as platformServices from '@hawthornfront/platform/common/platform-services.js';
import * as platformStandins from './platform-standins.js';
import * as runnerStandin from './runner-standin.js';
import * as serviceStandin from './service-standin.js';
import type * as settings from './settings.js';
import * as storeStandin from './store-standin.js';

export type RunningStandin = {
	kind: settings.StandinKind;
	name: string;
	address: string;
	close(): Promise<void>;
};

export type Deployment = {
	standins: RunningStandin[];
	close(): Promise<void>;
};

type Start = {
	clock: clockModule.Clock;
	section: settings.StandinSection;
	/** Upstreams that are already running. */
	vms: platformServices.Vm[];
};

const startOne = async ({clock, section, vms}: Start) => {
	const {seed} = section.settings;
	switch (section.kind) {
		case 'store': {
			const standin = await storeStandin.createStoreStandin({
				clock,
				seed,
				settings: section.settings,
			});
			standin.faults.slowMs = section.settings.slowMs;
			return standin;
		}

		case 'vm-list': {
			return platformStandins.createVmListStandin({
				clock,
				seed,
				settings: {...section.settings, vms},
			});
		}

		case 'directory': {
			return platformStandins.createDirectoryStandin({clock, seed, settings: section.settings});
		}

		case 'weight-store': {
			return platformStandins.createWeightStoreStandin({clock, seed, settings: section.settings});
		}

		case 'runner': {
			return runnerStandin.createRunnerStandin({clock, seed, settings: section.settings});
		}

		case 'service': {
			return serviceStandin.createServiceStandin({
				clock,
				seed,
				settings: {...section.settings, name: section.settings.service},
			});
		}
	}
};

/** Starts all sections, the VM list last, since it names the others. @throws Error when an address is taken. */
export const startDeployment = async (
	clock: clockModule.Clock,
	sections: readonly settings.StandinSection[],
): Promise<Deployment> => {
	const standins: RunningStandin[] = [];
	const vms: platformServices.Vm[] = [];
	const close = async () => {
		await Promise.all(standins.map(async (standin) => standin.close()));
	};

	const ordered = [
		...sections.filter((section) => section.kind !== 'vm-list'),
		...sections.filter((section) => section.kind === 'vm-list'),
	];
	try {
		for (const section of ordered) {
			const {address, close: closeOne} = await startOne({clock, section, vms});
			const {kind, name} = section;
			standins.push({kind, name, address, close: closeOne});
			if (section.kind === 'runner' || section.kind === 'service') {
				const {region, failureDomain} = section.settings;
				vms.push({name, role: 'upstream', region, failureDomain, address, state: 'live'});
			}
		}
	} catch (error) {
		await close();
		throw error;
	}

	return {standins, close};
};
