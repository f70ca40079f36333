package medlarroute.core

import arrow.core.Either

/** One problem of a rules text; [line] counts from 1, 0 if the problem has no line. */
public data class RulesFinding(public val line: Int, public val message: String)

/** Reads a rules text; all problems are collected. The version of the result is of no account. */
public fun interface RulesParser {
    /** The rules, or all problems of [text]. */
    public fun parse(text: String): Either<List<RulesFinding>, Rules>
}

/** A committed version of the rules text. */
public data class RulesText(public val version: Long, public val text: String)

/** What became of a version that was offered to a [RulesKeeper]. */
public sealed interface RulesOffer {
    /** The version is in force from now on. */
    public data class InForce(public val rules: Rules) : RulesOffer

    /** The version in force is as high or higher. */
    public data object NotNewer : RulesOffer

    /** This program can't read the version; the one in force stays. */
    public data class Unreadable(public val findings: List<RulesFinding>) : RulesOffer
}

/** The rules in force on this instance. The version only ever rises. Not thread-safe. */
public class RulesKeeper(private val parser: RulesParser) {
    /** The text in force; null before the first version, while jobs are refused. */
    public var current: RulesText? = null
        private set

    /** The version in force; 0 before the first one. */
    public val version: Long get() = current?.version ?: 0

    private var advertisedVersion = 0L
    private var unreadableVersion = 0L

    /** A committed version was found. */
    public fun offer(found: RulesText): RulesOffer {
        if (found.version <= version) return RulesOffer.NotNewer
        return parser.parse(found.text).fold(
            { findings ->
                unreadableVersion = maxOf(unreadableVersion, found.version)
                RulesOffer.Unreadable(findings)
            },
            { rules ->
                current = found
                RulesOffer.InForce(rules.copy(version = found.version))
            },
        )
    }

    /** A peer told its version; true if the text should be fetched from it. */
    public fun versionAdvertised(version: Long): Boolean {
        advertisedVersion = maxOf(advertisedVersion, version)
        return version > this.version && version > unreadableVersion
    }

    /** True while a version above the one in force is known to exist. */
    public val isBehind: Boolean get() = maxOf(advertisedVersion, unreadableVersion) > version
}
