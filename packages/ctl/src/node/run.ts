/** Command line of `hawthornfront-ctl`. */
import * as settings from '@hawthornfront/base/node/settings.js';
import * as catalogueReader from '@hawthornfront/catalogue/node/catalogue-reader.js';
import * as catalogueStore from '@hawthornfront/catalogue/node/catalogue-store.js';
import * as keyValueStore from '@hawthornfront/platform/common/key-value-store.js';
import * as cac from 'cac';
import * as ctlError from '../common/ctl-error.js';
import * as applying from './commands/apply.js';
import * as catalogueCommands from './commands/catalogue-commands.js';
import * as explaining from './commands/explain.js';
import * as otherCommands from './commands/other-commands.js';
import type * as ctlContext from './context.js';

type ConfigOption = {config?: string};

const version = '0.1.0';

const createCli = (context: ctlContext.CtlContext): cac.CAC => {
	const cli = cac.cac('hawthornfront-ctl');
	cli.option('--config <file>', 'Settings in INI format');
	cli.command('validate <file>', 'Check a catalogue file').action((file: string) => {
		catalogueCommands.validateFile(context, file);
	});
	cli
		.command('show [kind] [name]', 'Print the catalogue of the store')
		.action(async (kind: string | undefined, name: string | undefined, options: ConfigOption) =>
			catalogueCommands.show(context, kind, name, options),
		);
	cli
		.command('diff <file>', 'Compare a catalogue file with the store')
		.option('--prune', 'Also list records that the file does not have')
		.action(async (file: string, options: ConfigOption & {prune?: boolean}) =>
			catalogueCommands.diff(context, file, options),
		);
	cli
		.command('apply <file>', 'Write a catalogue file to the store')
		.option('--base <file>', 'Catalogue file that you started from')
		.option('--revision <number>', 'Revision that diff showed')
		.option('--prune', 'Remove records that the file does not have (with --revision)')
		.option('--wait', 'Wait until the revision is in force in each region')
		.option('--wait-seconds <seconds>', 'Longest wait (default: 30)')
		.action(async (file: string, options: applying.ApplyOptions) =>
			applying.apply(context, file, options),
		);
	cli
		.command('status', 'Print the revision of the store and of each entry daemon')
		.action(async (options: ConfigOption) => otherCommands.status(context, options));
	cli
		.command('dump <address>', 'Print the state of a daemon')
		.action(async (address: string) => otherCommands.dump(context, address));
	cli
		.command('explain <request> [...files]', 'Print the course of a request from log lines')
		.action(async (request: string, files: string[]) =>
			explaining.explain(context, request, files),
		);
	cli.command('team-key <team>', 'Make an API key and its digest').action((team: string) => {
		otherCommands.teamKey(context, team);
	});
	cli
		.command('clean-up', 'Remove catalogue parts that no revision uses any more')
		.option('--grace-seconds <seconds>', 'Time that unused parts stay (default: 300)')
		.action(async (options: ConfigOption & {graceSeconds?: number}) =>
			otherCommands.cleanUpStore(context, options),
		);
	cli.help();
	cli.version(version);
	return cli;
};

const toCtlError = (error: unknown): ctlError.CtlError => {
	const message = error instanceof Error ? error.message : String(error);
	const line = message.replaceAll(/\s*\n\s*/gu, ' ');
	if (error instanceof ctlError.CtlError) {
		return error;
	}

	if (
		error instanceof settings.SettingsError ||
		(error instanceof Error && error.name === 'CACError')
	) {
		return new ctlError.CtlError(ctlError.exitCodes.usage, line);
	}

	if (error instanceof catalogueStore.EditFailedError) {
		const {unknown, unreachable} = ctlError.exitCodes;
		return new ctlError.CtlError(error.mayHaveTakenEffect ? unknown : unreachable, line);
	}

	if (error instanceof catalogueReader.CatalogueDataError) {
		return new ctlError.CtlError(ctlError.exitCodes.invalid, line);
	}

	if (error instanceof keyValueStore.PlatformError) {
		return new ctlError.CtlError(ctlError.exitCodes.unreachable, line);
	}

	return new ctlError.CtlError(ctlError.exitCodes.internal, line);
};

/** Runs one command and returns its exit code. `args` are the arguments after the program. */
export const run = async (
	context: ctlContext.CtlContext,
	args: readonly string[],
): Promise<ctlError.ExitCode> => {
	try {
		const cli = createCli(context);
		const {options} = cli.parse(['node', 'hawthornfront-ctl', ...args], {run: false});
		if (options.help === true || options.version === true) {
			return ctlError.exitCodes.done;
		}

		if (!cli.matchedCommand) {
			const [name] = cli.args;
			const found = name === undefined ? 'no command' : `command "${name}"`;
			const message = `${found}: expected a command that --help lists`;
			throw new ctlError.CtlError(ctlError.exitCodes.usage, message);
		}

		await cli.runMatchedCommand();
		return ctlError.exitCodes.done;
	} catch (error) {
		const failure = toCtlError(error);
		context.printError(`hawthornfront-ctl: ${failure.message}`);
		return failure.exitCode;
	}
};
