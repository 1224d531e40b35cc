package marigoldward.control.duties

/** A duty that one control instance at a time performs at the platform's provider. */
public enum class ProviderDuty {
    /** To report how many requests of each workspace began to run, once for each window. */
    USAGE_REPORTS,

    /** To order as many engines in each data centre as the demand needs. */
    ENGINE_ORDERS,
}
