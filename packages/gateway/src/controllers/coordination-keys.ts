/** Prefix of the keys by which the VMs of the gateway coordinate. */
export const coordinationPrefix = 'bluebellmast/';
/** Key of the leader, the VM that sends orders to the engines; bound to its lease. */
export const leaderKey = `${coordinationPrefix}leader`;
/** Key of the current roll-out plan. */
export const rolloutPlanKey = `${coordinationPrefix}rollout`;
/** Key of the evidence on quarantined prompt parts, which outlasts a restart of all VMs. */
export const quarantineKey = `${coordinationPrefix}quarantine`;
/** Key of the operators' overrides on prompt parts, which no VM writes. */
export const operatorOverridesKey = `${coordinationPrefix}operator/quarantine`;
/** Prefix of the keys of the VMs, one for each, bound to its lease. */
export const vmKeyPrefix = `${coordinationPrefix}vms/`;
