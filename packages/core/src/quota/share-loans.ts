/** To whom this VM lends its share of a partition. */
type Loan = {
	readonly keeper: string;
	/** From then on the keeper surely no longer uses the share, in milliseconds. */
	until: number;
	/** When the loan was sent last. */
	sentAt: number;
};

/** The shares of this VM: each is lent to one VM at a time, itself included, and lent to another one only after the end of the loan. */
export class ShareLoans {
	readonly #loans = new Map<number, Loan>();

	/** Returns the VM that holds the share of a partition; `undefined` if none does. */
	getKeeper(partition: number, now: number): string | undefined {
		const loan = this.#loans.get(partition);
		return loan !== undefined && now < loan.until ? loan.keeper : undefined;
	}

	/** Returns whether the share may be lent to a VM now. */
	mayLend(partition: number, keeper: string, now: number): boolean {
		const holder = this.getKeeper(partition, now);
		return holder === undefined || holder === keeper;
	}

	/** Returns when the share was last lent; `-Infinity` if it is not lent to this VM. */
	getSentAt(partition: number, keeper: string): number {
		const loan = this.#loans.get(partition);
		return loan?.keeper === keeper ? loan.sentAt : -Infinity;
	}

	/** Records that the share is lent; an earlier loan to the same VM is prolonged, and never shortened. */
	lend(partition: number, keeper: string, until: number, now: number): void {
		const loan = this.#loans.get(partition);
		if (loan?.keeper === keeper) {
			loan.until = Math.max(loan.until, until);
			loan.sentAt = now;
		} else {
			this.#loans.set(partition, {keeper, until, sentAt: now});
		}
	}

	/** Ends the loan of a partition to a VM that no longer uses it. */
	endLoan(partition: number): void {
		this.#loans.delete(partition);
	}

	/** Ends all loans to a VM that uses none of them any more. */
	endLoans(keeper: string): void {
		for (const [partition, loan] of this.#loans) {
			if (loan.keeper === keeper) {
				this.#loans.delete(partition);
			}
		}
	}
}
