/** Command line of the programs that run until they receive a signal: `--config`, `--help`, `--version`. */
// A namespace import lacks the methods of EventEmitter and makes exitCode read-only.
import process from 'node:process';
import * as cac from 'cac';
import * as errorText from '../common/error-text.js';

/** Version of all programs of this repository. */
export const version = '0.1.0';

/** Exit code for an invalid command line or invalid settings. */
export const usageExitCode = 2;

export type DaemonProgram = {
	name: string;
	description: string;
	/** Settings file to use without `--config`. */
	defaultFile?: string | undefined;
	/** Starts the program with a settings file and returns a function that stops it. @throws Error for invalid settings. */
	start(file: string): Promise<() => Promise<void>>;
};

const stopOnSignal = (stop: () => Promise<void>): void => {
	let isStopping = false;
	const onSignal = () => {
		if (!isStopping) {
			isStopping = true;
			void stop();
		}
	};

	// The listeners stay registered. Without a listener, a second signal would end the process immediately.
	process.on('SIGINT', onSignal);
	process.on('SIGTERM', onSignal);
};

/** Writes an error to standard error as one line and sets the exit code. */
export const failWith = (name: string, error: unknown): void => {
	const message = errorText.errorText(error);
	process.stderr.write(`${name}: ${message.replaceAll(/\s*\n\s*/gu, ' ')}\n`);
	process.exitCode = usageExitCode;
};

/** Parses the command line, starts the program and stops it on SIGINT or SIGTERM. */
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

			stopOnSignal(await program.start(file));
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
