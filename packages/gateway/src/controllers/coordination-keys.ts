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
/**
 * Prefix of the keys of versions of weights that were named lately, each bound to a lease that ends shortly before replaced weights may no longer be
 * used. It sorts after the plan, so that a snapshot that holds a plan with such a version also holds its key, unless that has ended.
 */
export const recentVersionKeyPrefix = `${coordinationPrefix}versions/`;

/** Returns the key of a version that was named lately. */
export function recentVersionKey(model: string, version: number): string {
	return `${recentVersionKeyPrefix}${version}/${model}`;
}
