/** Keys under which the VMs of the gateway agree on their duties. */
export const dutyPrefix = 'bluebellmast/';
/** Name of the VM that gives orders; under its lease. */
export const leaderKey = `${dutyPrefix}leader`;
/** Plan of the roll-out under way. */
export const planKey = `${dutyPrefix}rollout`;
/** One key for each VM, under its lease. */
export const vmsPrefix = `${dutyPrefix}vms/`;
