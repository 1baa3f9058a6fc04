/** Runs the gateway with the command of the deploy file, as the platform does. */
import childProcess from 'node:child_process';
import fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const root = path.resolve(import.meta.dirname, '../..');
const restartMs = 300;

/** The words of `run` in the deploy file. */
const command = () => {
	const text = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<run>[^"]+)"$/mu.exec(text).groups.run.split(' ');
};

const ports = {callers: 8144, readiness: 8140, directory: 8143, peers: 7660, metrics: 7675};

const settingsOf = ({name, host, region, zone}, {zones, store, seeds}) =>
	[
		'[vm]',
		`name = ${name}`,
		`region = ${region}`,
		`failureDomain = ${zone}`,
		'processorShare = 0.675',
		'[limits]',
		'memoryMb = 350',
		'maxDescriptors = 4100',
		'[listen]',
		...Object.entries(ports).map(([key, port]) => `${key} = ${host}:${port}`),
		'[failureDomains]',
		...Object.entries(zones).map(([key, value]) => `${key} = ${value}`),
		'[store]',
		`address = ${store}`,
		'[peers]',
		`seedAddresses = ${seeds.map((seed) => `${seed}:8146`).join(',')}`,
		'[stop]',
		'graceS = 8',
		'[resends]',
		'share = 0.2',
		'extraPerWindow = 54',
		'windowS = 10',
		'[directory]',
		'timeToLiveS = 5',
		'; end of settings',
		'',
	].join('\n');

/** Starts one gateway process, and starts it again when it ends. */
export const startGateway = (vm, options) => {
	const file = path.join(options.folder, `${vm.name}.ini`);
	fs.writeFileSync(file, settingsOf(vm, options));
	const log = fs.openSync(path.join(options.folder, `${vm.name}.log`), 'a');
	const [program, ...words] = command();
	let child;
	let isClosed = false;
	const start = () => {
		if (isClosed) {
			return;
		}

		const started = childProcess.spawn(program, words, {
			cwd: root,
			env: {PATH: process.env.PATH, HOME: process.env.HOME, HAWTHORNFRONT_CONFIG: file},
			stdio: ['ignore', log, log],
		});
		child = started;
		started.on('exit', () => {
			child = undefined;
			setTimeout(start, restartMs);
		});
	};

	start();
	return {
		...vm,
		callers: {host: vm.host, port: ports.callers},
		async isReady() {
			try {
				const response = await fetch(`http://${vm.host}:${ports.readiness}/api/ready`);
				await response.arrayBuffer();
				return response.status === 200;
			} catch {
				return false;
			}
		},
		close() {
			isClosed = true;
			child?.kill('SIGKILL');
		},
	};
};
