// Guards against a daemon that does not start, or runs with defaults, because the platform still writes its settings (issue 39).
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as tap from 'tap';
import type * as gatewayEvent from '../common/gateway-event.js';
import type * as settings from '../node/settings.js';
import * as settingsFile from '../node/settings-file.js';

const lastLine = '; end of settings\n';

const createText = (graceS: number) => `
[vm]
name = front-harju-a-1
region = harju
failureDomain = harju-a
[listen]
callers = 10.1.0.35:8144
readiness = 10.1.0.35:8140
directory = 10.1.0.35:8143
peers = 10.1.0.35:7660
[failureDomains]
harju-a = harju
[store]
address = 10.200.1.7:8142
[peers]
seedAddresses =
[resends]
share = 0.2
[directory]
timeToLiveS = 5
[stop]
graceS = ${graceS}
`;

const create = (t: tap.Test) => {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'hawthornfront-settings-'));
	t.teardown(() => {
		fs.rmSync(folder, {recursive: true});
	});
	const file = path.join(folder, 'gateway.ini');
	const clock = new manualClock.ManualClock();
	const source = settingsFile.createSettingsFile(file, clock);
	const stop = new AbortController();
	const rejections: string[] = [];
	const read = async () =>
		source.readAtStart({
			signal: stop.signal,
			onRejected(detail) {
				rejections.push(detail);
			},
		});
	const write = (text: string) => {
		fs.writeFileSync(file, text);
	};

	const events: gatewayEvent.GatewayEvent[] = [];
	const applied: number[] = [];
	const watch = () => {
		const watched = source.watch({
			log: {
				note(event) {
					events.push(event);
				},
			},
			apply(next: settings.GatewaySettings) {
				applied.push(next.stop.graceS);
			},
		});
		t.teardown(() => {
			watched.dispose();
		});
		return watched;
	};

	return {clock, file, stop, rejections, read, write, events, applied, watch};
};

tap.t.test('a file that is written in full is read at once', async (t) => {
	const {read, write, rejections} = create(t);
	write(createText(80) + lastLine);
	t.match(await read(), {settings: {stop: {graceS: 80}}, adjustments: []});
	t.strictSame(rejections, []);
});

tap.t.test('a file that is still written is read again', async (t) => {
	const whole = createText(80);
	const beginnings = {
		missing: undefined,
		empty: '',
		'cut in a section': whole.slice(0, whole.indexOf('readiness')),
		'valid with a section missing': whole.slice(0, whole.indexOf('[stop]')),
		'valid with a value cut off': whole.slice(0, whole.indexOf('80') + 1),
	};
	for (const [name, beginning] of Object.entries(beginnings)) {
		const {clock, read, write, rejections} = create(t);
		if (beginning !== undefined) {
			write(beginning);
		}

		const reading = read();
		await clock.advance(300);
		write(whole + lastLine);
		await clock.advance(100);
		t.match(await reading, {settings: {stop: {graceS: 80}}}, name);
		t.equal(rejections.length, 1, `${name}: one report`);
	}
});

tap.t.test('a file without the last line is read when it stays as it is', async (t) => {
	const {clock, read, write} = create(t);
	write(createText(80));
	const reading = read();
	await clock.advance(1000);
	t.match(await reading, {settings: {stop: {graceS: 80}}});
});

tap.t.test('a file that stays invalid fails the start', async (t) => {
	const {clock, read, write, rejections} = create(t);
	write(createText(80).replace(/callers = .*/u, 'callers =') + lastLine);
	const reading = t.rejects(read(), /section \[listen\], key "callers"/u);
	await clock.advance(5000);
	await reading;
	t.equal(rejections.length, 1);
});

tap.t.test('a stop signal ends the wait for settings', async (t) => {
	const {clock, stop, read} = create(t);
	const reading = t.rejects(read(), {name: 'AbortError'});
	await clock.advance(200);
	stop.abort();
	await reading;
	t.equal(clock.pendingTimers, 0);
});

tap.t.test('a change is applied without a signal', async (t) => {
	const {clock, read, write, watch, events, applied} = create(t);
	write(createText(8) + lastLine);
	await read();
	watch();
	await clock.advance(2000);
	t.strictSame(events, []);
	write(createText(9) + lastLine);
	await clock.advance(2000);
	t.strictSame(applied, [9]);
	t.strictSame(events, [{kind: 'settings-reloaded', changed: true}]);
});

tap.t.test('a change between the start and the first check is applied', async (t) => {
	const {read, write, watch, applied} = create(t);
	write(createText(8) + lastLine);
	await read();
	write(createText(9) + lastLine);
	watch();
	t.strictSame(applied, [9]);
});

// A file that was rejected was not read again until its next change.
tap.t.test('a file that is written during a reload is read again', async (t) => {
	const {clock, file, read, write, watch, events, applied} = create(t);
	const whole = createText(80);
	write(createText(8) + lastLine);
	await read();
	const {reload} = watch();
	fs.rmSync(file);
	reload();
	write(whole.slice(0, whole.indexOf('80') + 1));
	await clock.advance(500);
	t.strictSame(applied, []);
	write(whole + lastLine);
	await clock.advance(500);
	t.strictSame(applied, [80]);
	t.match(events, [
		{kind: 'settings-rejected', step: 'reload', detail: /ENOENT/u},
		{kind: 'settings-rejected', step: 'reload', detail: /last line/u},
		{kind: 'settings-reloaded', changed: true},
	]);
});

tap.t.test('a file that stays invalid is reported once and changes nothing', async (t) => {
	const {clock, read, write, watch, events, applied} = create(t);
	write(createText(8) + lastLine);
	await read();
	const {reload} = watch();
	write(`${createText(9)}unknown = 1\n${lastLine}`);
	reload();
	await clock.advance(10_000);
	t.strictSame(applied, []);
	t.match(events, [{kind: 'settings-rejected', detail: /key "unknown"/u}]);
	t.equal(events.length, 1);
});

tap.t.test('a signal without a change is confirmed', async (t) => {
	const {read, write, watch, events} = create(t);
	write(createText(8) + lastLine);
	await read();
	watch().reload();
	t.strictSame(events, [{kind: 'settings-reloaded', changed: false}]);
});

// Two beginnings of different files looked like one file that had settled.
tap.t.test('a file that had the last line needs it', async (t) => {
	const {clock, read, write, watch, events, applied} = create(t);
	const whole = createText(80);
	write(whole + lastLine);
	await read();
	watch();
	write(whole.slice(0, whole.indexOf('80') + 1));
	await clock.advance(20_000);
	t.strictSame(applied, []);
	t.match(events, [{kind: 'settings-rejected', detail: /last line/u}]);
	write(createText(81) + lastLine);
	await clock.advance(500);
	t.strictSame(applied, [81]);
});

tap.t.test('a signal after the end of the watch does nothing', async (t) => {
	const {clock, read, write, watch, events} = create(t);
	write(createText(8) + lastLine);
	await read();
	const watched = watch();
	watched.dispose();
	watched.reload();
	t.strictSame(events, []);
	t.equal(clock.pendingTimers, 0);
});
