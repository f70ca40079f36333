package medlarroute.core

/**
 * A backend server as the platform lists it.
 *
 * @property slots number of tasks it runs at once.
 * @property rack name of its rack, empty if unknown.
 */
public data class BackendServer(
    public val id: BackendId,
    public val failureDomain: FailureDomainId,
    public val slots: Int,
    public val rack: String = "",
    public val cores: Int = 0,
    public val accelerators: Int = 0,
)

/** Load that a backend server reported with a reply. */
public data class BackendUsage(public val busySlots: Int, public val slots: Int)
