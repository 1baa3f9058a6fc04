/** Command line of the programs that run until they receive a signal: `--config`, `--help`, `--version`. */
// A namespace import lacks the methods of EventEmitter and makes exitCode read-only.
import process from 'node:process';
import * as cac from 'cac';
import * as errorText from '../common/error-text.js';

/** Version of all programs of this repository. */
export const version = '0.1.0';

/** Exit code for an invalid command line or invalid settings. */
export const usageExitCode = 2;
/** Exit code after an error that nothing handles, or a stop that fails. */
const failureExitCode = 1;

export type DaemonProgram = {
	name: string;
	description: string;
	/** Settings file to use without `--config`. */
	defaultFile?: string | undefined;
	/**
	 * Starts the program with a settings file and returns a function that stops it.
	 *
	 * @param stopSignal aborted by a stop signal; a start that it interrupts may reject
	 * @throws Error for invalid settings
	 */
	start(file: string, stopSignal: AbortSignal): Promise<() => Promise<void>>;
	/** Longest time for the stop after an error that nothing handles; nobody else would end the process then. */
	failedStopLimitMs?: number;
};

const writeError = (name: string, error: unknown): void => {
	const message = errorText.errorText(error);
	process.stderr.write(`${name}: ${message.replaceAll(/\s*\n\s*/gu, ' ')}\n`);
};

/** Writes an error to standard error as one line and sets the exit code. */
export const failWith = (name: string, error: unknown): void => {
	writeError(name, error);
	process.exitCode = usageExitCode;
};

/** The listeners stay registered. Without a listener, a second signal would end the process immediately. */
const listenForStop = (): AbortSignal => {
	const controller = new AbortController();
	const onSignal = () => {
		controller.abort();
	};

	process.on('SIGINT', onSignal);
	process.on('SIGTERM', onSignal);
	return controller.signal;
};

/** Different errors that are written; a stop that follows an error may meet it again and again. */
const maxWrittenErrors = 20;
const defaultFailedStopLimitMs = 60_000;

/** Without a listener, an error that nothing handles would end the process with all work in progress. */
const listenForFailure = (name: string, onFailure: () => void): void => {
	const written = new Set<string>();
	process.on('uncaughtException', (error: unknown) => {
		const message = errorText.errorText(error);
		const isFirst = written.size === 0;
		if (!written.has(message) && written.size < maxWrittenErrors) {
			written.add(message);
			const stack = error instanceof Error ? error.stack : undefined;
			process.stderr.write(`${name}: ${stack ?? message}\n`);
		}

		if (isFirst) {
			process.exitCode = failureExitCode;
			onFailure();
		}
	});
};

const runUntilStopped = async (program: DaemonProgram, file: string): Promise<void> => {
	const stopSignal = listenForStop();
	let stop: () => Promise<void>;
	try {
		stop = await program.start(file, stopSignal);
	} catch (error) {
		if (stopSignal.aborted) {
			// eslint-disable-next-line unicorn/no-process-exit -- what the start opened would keep the process alive
			process.exit(0);
		}

		writeError(program.name, error);
		// eslint-disable-next-line unicorn/no-process-exit -- what the start opened would keep the process alive
		process.exit(usageExitCode);
	}

	let isStopping = false;
	const runStop = async () => {
		if (isStopping) {
			return;
		}

		isStopping = true;
		try {
			await stop();
		} catch (error) {
			writeError(program.name, error);
			// eslint-disable-next-line unicorn/no-process-exit -- what the stop left open would keep the process alive
			process.exit(failureExitCode);
		}
	};

	listenForFailure(program.name, () => {
		const limitMs = program.failedStopLimitMs ?? defaultFailedStopLimitMs;
		// Does not keep a process alive whose stop has closed everything.
		setTimeout(() => {
			writeError(program.name, `the stop after an error did not finish within ${limitMs} ms`);
			// eslint-disable-next-line unicorn/no-process-exit -- nothing else would end the process
			process.exit(failureExitCode);
		}, limitMs).unref();
		void runStop();
	});
	if (stopSignal.aborted) {
		await runStop();
	} else {
		stopSignal.addEventListener('abort', () => {
			void runStop();
		});
	}
};

/** Parses the command line, starts the program and stops it on SIGINT, SIGTERM or an error that nothing handles. */
export const runDaemonProgram = async (program: DaemonProgram): Promise<void> => {
	const cli = cac.cac(program.name);
	cli
		.command('', program.description)
		.option('--config <file>', 'Settings in INI format')
		.action(async (options: {config?: unknown}) => {
			const file = options.config ?? program.defaultFile;
			if (typeof file !== 'string') {
				throw new TypeError('expected --config FILE.ini');
			}

			await runUntilStopped(program, file);
		});
	cli.help();
	cli.version(version);
	try {
		cli.parse(process.argv, {run: false});
		await cli.runMatchedCommand();
	} catch (error) {
		failWith(program.name, error);
	}
};
