/** Reads the settings file at the start and when it changes, also while the platform writes it. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import * as errorText from '@hawthornfront/base/common/error-text.js';
import * as baseSettings from '@hawthornfront/base/node/settings.js';
import type * as gatewayEvent from '../common/gateway-event.js';
import * as settings from './settings.js';

/** Last line of a file that is written in full. */
const lastLine = '; end of settings';
/** A file that never had the last line counts as written when it stays as it is for this time. */
const settleMs = 1000;
/** The start fails without valid settings after this time. */
const startTimeoutMs = 5000;
const startRetryMs = 100;
/** Interval of checks for a file that changed without a signal. */
const checkIntervalMs = 2000;
/** Interval of checks of a file that is not written in full or not valid. */
const rejectedCheckIntervalMs = 500;

type Reading = settings.AdaptedSettings | {rejection: Error};

export type SettingsFile = {
	/** Reads valid settings. @throws Error when there are none in time, or the signal is aborted */
	readAtStart(options: {
		signal: AbortSignal;
		/** Called once for a file that is read again. */
		onRejected(detail: string): void;
	}): Promise<settings.AdaptedSettings>;
	/** Applies changes of the file until it is disposed. */
	watch(options: {
		log: gatewayEvent.EventLog;
		apply(next: settings.GatewaySettings): void;
	}): disposable.Disposable & {
		/** Checks the file after a reload signal. */
		reload(): void;
	};
};

export const createSettingsFile = (file: string, clock: clock.Clock): SettingsFile => {
	const nowMs = () => clock.nowMs();
	let lastText: string | undefined;
	let lastChangeAtMs = 0;
	let hadLastLine = false;
	let inForceText = '';

	const read = (): Reading => {
		try {
			const text = baseSettings.readSettingsText(file);
			if (text !== lastText) {
				lastText = text;
				lastChangeAtMs = nowMs();
			}

			const hasLastLine = text.trimEnd().endsWith(lastLine);
			hadLastLine ||= hasLastLine;
			if (!hasLastLine && (hadLastLine || nowMs() - lastChangeAtMs < settleMs)) {
				return {rejection: new Error(`${file}: the last line "${lastLine}" is missing`)};
			}

			return settings.parseGatewaySettings(text, file);
		} catch (error) {
			return {rejection: error instanceof Error ? error : new Error(String(error))};
		}
	};

	return {
		async readAtStart({signal, onRejected}) {
			const endsAtMs = nowMs() + startTimeoutMs;
			for (let isFirst = true; ; isFirst = false) {
				signal.throwIfAborted();
				const reading = read();
				if ('settings' in reading) {
					inForceText = JSON.stringify(reading.settings);
					return reading;
				}

				if (nowMs() >= endsAtMs) {
					throw reading.rejection;
				}

				if (isFirst) {
					onRejected(errorText.errorText(reading.rejection));
				}

				await clock.sleep(startRetryMs, signal);
			}
		},
		watch({log, apply}) {
			let rejection = '';
			let isSignalPending = false;
			let isDisposed = false;
			let timer: disposable.Disposable | undefined;

			const check = () => {
				const reading = read();
				if ('rejection' in reading) {
					const detail = errorText.errorText(reading.rejection);
					if (detail !== rejection) {
						log.note({kind: 'settings-rejected', step: 'reload', detail});
					}

					rejection = detail;
					return;
				}

				const text = JSON.stringify(reading.settings);
				const changed = text !== inForceText;
				if (changed) {
					apply(reading.settings);
					inForceText = text;
					for (const adjustment of reading.adjustments) {
						log.note({kind: 'setting-adjusted', ...adjustment});
					}
				}

				if (changed || isSignalPending || rejection !== '') {
					log.note({kind: 'settings-reloaded', changed});
				}

				rejection = '';
				isSignalPending = false;
			};

			const checkAndSchedule = () => {
				timer?.dispose();
				if (isDisposed) {
					return;
				}

				check();
				const delayMs = rejection === '' ? checkIntervalMs : rejectedCheckIntervalMs;
				timer = clock.setTimer(checkAndSchedule, delayMs);
			};

			checkAndSchedule();
			return {
				reload() {
					isSignalPending = true;
					checkAndSchedule();
				},
				dispose() {
					isDisposed = true;
					timer?.dispose();
				},
			};
		},
	};
};
