/** Keys under which the VMs of the gateway agree on their duties. */
export const coordinationPrefix = 'bluebellmast/';
/** Name of the VM that gives orders; under its lease. */
export const leaderKey = `${coordinationPrefix}leader`;
/** Plan of the roll-out under way. */
export const rolloutPlanKey = `${coordinationPrefix}rollout`;
/** One key for each VM, under its lease. */
export const vmKeyPrefix = `${coordinationPrefix}vms/`;
