/** `explain`: reconstructs the history of one request from daemon logs. */
import * as fs from 'node:fs';
import process from 'node:process';
import * as readline from 'node:readline';
import * as errorText from '@hawthornfront/base/common/error-text.js';
import * as ctlError from '../../common/ctl-error.js';
import * as explaining from '../../common/explain.js';
import type * as ctlContext from '../context.js';

const readLines = async (input: NodeJS.ReadableStream): Promise<string[]> => {
	const lines: string[] = [];
	for await (const line of readline.createInterface({input, crlfDelay: Infinity})) {
		lines.push(line);
	}

	return lines;
};

const readFile = async (file: string): Promise<string[]> => {
	try {
		return await readLines(fs.createReadStream(file, 'utf8'));
	} catch (error) {
		const detail = errorText.errorText(error);
		throw new ctlError.CtlError(ctlError.exitCodes.usage, `cannot read ${file}: ${detail}`);
	}
};

/** Prints the history of a request; reads standard input if no files are given. */
export const explain = async (
	context: Pick<ctlContext.CtlContext, 'print' | 'printError'>,
	request: string,
	files: readonly string[],
): Promise<void> => {
	const texts: string[] = [];
	for (const file of files) {
		texts.push(...(await readFile(file)));
	}

	if (files.length === 0) {
		texts.push(...(await readLines(process.stdin)));
	}

	const explanation = explaining.explainRequest(request, texts);
	for (const line of explanation.lines) {
		context.print(line);
	}

	if (explanation.skipped > 0) {
		context.printError(`${explanation.skipped} lines could not be read`);
	}

	if (!explanation.found) {
		const message = `no line has the request ${request}`;
		throw new ctlError.CtlError(ctlError.exitCodes.different, message);
	}
};
