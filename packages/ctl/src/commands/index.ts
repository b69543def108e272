import type * as command from '../cli/command.js';
import * as applyCommand from './apply-command.js';
import * as checkCommands from './check-commands.js';
import * as explainCommand from './explain-command.js';
import * as recallCommands from './recall-commands.js';
import * as routerCommands from './router-commands.js';
import * as timelineCommand from './timeline-command.js';

/** All commands of the tool, in the order of `--help`. */
export const allCommands: readonly command.Command[] = [
	checkCommands.checkSettingsCommand,
	checkCommands.checkCommand,
	applyCommand.applyCommand,
	recallCommands.recallCommand,
	recallCommands.reinstateCommand,
	routerCommands.statusCommand,
	routerCommands.endpointsCommand,
	timelineCommand.timelineCommand,
	explainCommand.explainCommand,
];
