/**
 * `npm run bench -- logging`: processor time of the gateway's log lines. Each
 * figure is the difference between a process that logs two lines a request and
 * one that takes the same events without a log.
 */
import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import process from 'node:process';
import * as url from 'node:url';

export type LoggingFigure = {
	requestsPerS: number;
	/** Processor time of one second with and without lines, in milliseconds. */
	withLinesMs: number;
	withoutLinesMs: number;
};

const ratesPerS = [100, 1000];
const durationS = 10;
const quickDurationS = 2;

const child = path.join(path.dirname(url.fileURLToPath(import.meta.url)), 'bench-logging-child.js');

/** Runs one process and returns its processor time a second in milliseconds. */
const measure = async (requestsPerS: number, mode: string, seconds: number): Promise<number> =>
	new Promise((resolve, reject) => {
		const running = childProcess.spawn(
			process.execPath,
			[child, String(requestsPerS), mode, String(seconds)],
			{stdio: ['ignore', 'pipe', 'pipe']},
		);
		let told = '';
		running.stdout.resume();
		running.stderr.on('data', (bytes: Uint8Array) => {
			told += new TextDecoder().decode(bytes);
		});
		running.on('error', reject);
		running.on('exit', (code) => {
			if (code === 0) {
				resolve(Number(told));
			} else {
				reject(new Error(`the measured process ended with ${code}: ${told}`));
			}
		});
	});

/** Measures and prints the figures. */
export const runLoggingBench = async (options: {
	isQuick: boolean;
	print(text: string): void;
}): Promise<LoggingFigure[]> => {
	const seconds = options.isQuick ? quickDurationS : durationS;
	const figures: LoggingFigure[] = [];
	for (const requestsPerS of ratesPerS) {
		const withoutLinesMs = await measure(requestsPerS, 'silent', seconds);
		const withLinesMs = await measure(requestsPerS, 'lines', seconds);
		figures.push({requestsPerS, withLinesMs, withoutLinesMs});
		options.print(
			`${requestsPerS} requests/s: ${withLinesMs.toFixed(1)} ms of processor time a second with lines, ` +
				`${withoutLinesMs.toFixed(1)} ms without, difference ${(withLinesMs - withoutLinesMs).toFixed(1)} ms`,
		);
	}

	return figures;
};
