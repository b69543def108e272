import * as core from '@bluebellmast/core';
import type * as memberController from '../controllers/member-controller.js';
import type * as timelineRecorder from './timeline-recorder.js';

/** Records in the timeline which routers join, restart or are lost. */
export class MemberRecorder {
	readonly #recorder: timelineRecorder.TimelineRecorder;
	#presentMembers = new Map<core.model.VmId, core.model.Incarnation>();

	constructor(recorder: timelineRecorder.TimelineRecorder) {
		this.#recorder = recorder;
	}

	/** Records all membership changes from now on. */
	subscribe(members: Pick<memberController.MemberController, 'onChange'>): void {
		members.onChange(records => {
			this.#update(records);
		});
	}

	#update(records: readonly core.members.MemberRecord[]): void {
		const present = new Map(records.map(({vm, incarnation}) => [vm, incarnation]));
		for (const [vm, incarnation] of present) {
			if (this.#presentMembers.get(vm) !== incarnation) {
				this.#recorder.record({type: core.timeline.TimelineEventType.MemberJoined, detail: `${vm} ${incarnation}`});
			}
		}

		for (const [vm, incarnation] of this.#presentMembers) {
			if (!present.has(vm)) {
				this.#recorder.record({type: core.timeline.TimelineEventType.MemberLost, detail: `${vm} ${incarnation}`});
			}
		}

		this.#presentMembers = present;
	}
}
